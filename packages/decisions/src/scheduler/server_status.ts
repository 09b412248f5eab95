/** What records and the life cycle say of a backend server now. */
export interface ServerStatus {
  /** A record declares the backend server. */
  readonly declared: boolean;
  /** The availability zone is in service. */
  readonly zoneInService: boolean;
  /** The backend server is in service. */
  readonly serverInService: boolean;
  /** The agent or its backend server is shutting down. */
  readonly leaving: boolean;
  /** Models, or the one service, that can be called here. */
  readonly servedTargets: readonly string[];
  /** This server's share of the availability zone's limit. */
  readonly zoneLimitShare: number;
}
