/** Reading that one emulated server has to do. */
export interface PrefillPart {
  readonly tokens: number;
  readonly msPerToken: number;
  /** Parts of other servers' prompts go before own ones of any rank. */
  readonly rank: number;
  readonly isCancelled: () => boolean;
  readonly onDone: () => void;
}
