/** A caller's request in progress, as the HTTP server controls it. */
export interface CallHandle {
  /** Ends the request because the caller has disconnected. */
  readonly handleDisconnect: () => void;
  /** Resumes a stream that was paused because its sink was congested. */
  readonly handleDrain: () => void;
}
