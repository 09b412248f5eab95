/** A task with a mailbox; handles messages one at a time, in order. */
export interface Task<Message> {
  /** Adds a message to the mailbox, which is unbounded, and returns. */
  readonly send: (message: Message) => void;
}
