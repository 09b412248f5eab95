import type {
  PriorityLevel,
  ServingRoute,
  ServingService,
} from '@figfall/decisions';
import type {CallerRequest} from '../ports/caller_request.js';

/** A caller's request with its matched route, service and deadline. */
export interface CallSpec {
  readonly req: CallerRequest;
  readonly route: ServingRoute;
  readonly service: ServingService;
  /** Workspace of the API key; undefined if the route needs no key. */
  readonly workspace?: string;
  /** Urgency among the requests that the service may get. */
  readonly priority: PriorityLevel;
  /**
   * Urgency of the route among those of the service. Placement goes by it:
   * servers can be kept for kinds of requests, but requests of urgent workspaces
   * run on all of them.
   */
  readonly routeLevel: PriorityLevel;
  /** True if the request may run more than once. */
  readonly idempotent: boolean;
  /** Monotonic time in milliseconds by which the response must be complete. */
  readonly deadlineAt: number;
}
