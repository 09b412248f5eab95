/** What a response of a backend server says of the server itself. */
export interface ServerNotice {
  /** The server is shutting down and wants no new requests from anyone. */
  readonly isLeaving: boolean;
  /**
   * Milliseconds for which the server wants no requests from this gateway; 0
   * if it does not ask for a pause.
   */
  readonly pauseMs: number;
}
