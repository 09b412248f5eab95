/** A request rate that a backend server has named, or that has ended. */
export interface KnownLimit {
  /** Start of the server's process, in Unix milliseconds. */
  readonly processStartedAt?: number;
  /** Requests a second from all gateways together; undefined once it ended. */
  readonly perSecond?: number;
  /** Monotonic time in milliseconds since which this rate is known. */
  readonly knownSince: number;
  /** Time in milliseconds at which the last response with it arrived. */
  readonly heardAt: number;
  /** Latest time in milliseconds of a request whose response had it. */
  readonly askedAt: number;
}
