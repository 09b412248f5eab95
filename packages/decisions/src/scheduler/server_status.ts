/** Serving status of a backend server, from records and shutdown state. */
export interface ServerStatus {
  /** Records declare the backend server and its availability zone. */
  readonly declared: boolean;
  /** The availability zone is in service. */
  readonly zoneInService: boolean;
  /** The backend server is in service. */
  readonly serverInService: boolean;
  /** The agent or its backend server is shutting down. */
  readonly leaving: boolean;
  /** Loaded models of an engine, or the name of the one plain service. */
  readonly servedTargets: readonly string[];
  /** This server's share of the zone's limit on running calls. */
  readonly zoneLimitShare: number;
}
