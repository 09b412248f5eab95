/** A part of a prompt that one simulated server prefills. */
export interface PrefillPart {
  readonly tokens: number;
  readonly msPerToken: number;
  /** The lowest goes first; parts for other servers have the lowest value. */
  readonly priority: number;
  readonly isCancelled: () => boolean;
  readonly onDone: () => void;
}
