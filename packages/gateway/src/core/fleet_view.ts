import type {
  BackendServer,
  ServerHealth,
  serverNotices,
} from '@figfall/decisions';

/** Backend servers and what a gateway knows of their state. */
export interface FleetView {
  readonly servers: readonly BackendServer[];
  readonly health: ReadonlyMap<string, ServerHealth>;
  /** What servers have said of themselves in their responses. */
  readonly notices: ReturnType<typeof serverNotices.empty>;
  /** Availability zones whose servers get no requests. */
  readonly evacuatedZones: ReadonlySet<string>;
}
