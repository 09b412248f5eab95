/** A task that handles messages one at a time. */
export interface Task<Message> {
  /** Puts a message into the task's mailbox. */
  readonly send: (message: Message) => void;
}
