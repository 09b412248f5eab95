import type {Failure, PriorityLevel} from '@figfall/decisions';
import type {Fleet} from '../core/fleet.js';
import type {BackendClient} from '../ports/backend_client.js';
import type {ResponseSink} from '../ports/response_sink.js';
import type {CallObserver} from './call_observer.js';
import type {CallOutcome} from './call_outcome.js';
import type {CallSpec} from './call_spec.js';

/** A call at the gateway: its request and what it depends on. */
export interface GatewayCallContext {
  readonly spec: CallSpec;
  readonly sink: ResponseSink;
  readonly fleet: Fleet;
  readonly client: BackendClient;
  /** Monotonic time in milliseconds. */
  readonly now: () => number;
  /** Runs an action once what callers have sent by then has been read. */
  readonly afterReads: (action: () => void) => void;
  /** Spends one retry of a service's budget; false if it is exhausted. */
  readonly spendRetry: (service: string) => boolean;
  /** Why the request must not be sent to a backend server now, if that is so. */
  readonly sendRefusal: () => Failure | undefined;
  readonly observer: CallObserver;
  /** Its priority level by the configuration in force. */
  readonly currentPriority: () => PriorityLevel;
  /** Called once, when the call has ended. */
  readonly onEnd: (outcome: CallOutcome) => void;
}
