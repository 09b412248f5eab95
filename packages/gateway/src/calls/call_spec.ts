import type {ServingRoute, ServingService} from '@figfall/decisions';
import type {CallerRequest} from '../ports/caller_request.js';

/** A caller's request with what the configuration says of it. */
export interface CallSpec {
  readonly req: CallerRequest;
  readonly route: ServingRoute;
  readonly service: ServingService;
  readonly workspace?: string;
  /** True where the request may run more than once. */
  readonly idempotent: boolean;
  /** Steady time in milliseconds by which the answer must be whole. */
  readonly deadlineAt: number;
}
