/** A queued prompt, as one gateway knows it. */
export interface WaitingPrompt {
  /** Gateway that has received the prompt. */
  readonly owner: string;
  /** Prompts of one level with lower ranks start first; overdue below 0. */
  readonly rank: number;
  /** Time in milliseconds at which this gateway learned that it waits. */
  readonly since: number;
  /** Priority level, 0 first; absent from gateways of the former version. */
  readonly level?: number;
  /** Workspace of the request, if its route needs an API key. */
  readonly workspace?: string;
}
