/** Result of a request to reserve KV cache. */
export type ReserveResult =
  | 'granted'
  /** The server has no KV cache to spare now. */
  | 'refused'
  /** The server can't be reached, or did not respond in time. */
  | 'unanswered';
