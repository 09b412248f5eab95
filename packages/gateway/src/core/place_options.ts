/** What `Fleet.place` has to know beside the request. */
export interface PlaceOptions {
  /** Ids of the servers that must not be chosen. */
  readonly exclude: readonly string[];
  /**
   * True if the request also runs elsewhere: it then waits for no servers, as
   * that would hold up other prompts.
   */
  readonly isHedge?: boolean;
  /** Time in milliseconds of the last event, if the stream has begun. */
  readonly lastEventAt?: number;
}
