/** What becomes of an order to reserve KV cache. */
export type ReserveResult =
  | 'granted'
  /** The server has no memory to spare now. */
  | 'refused'
  /** The server can't be reached, or has not answered in time. */
  | 'unanswered';
