import type {Fleet} from '../core/fleet.js';
import type {ResponseSink} from '../ports/response_sink.js';
import type {BackendClient} from '../ports/backend_client.js';
import type {CallOutcome} from './call_outcome.js';
import type {CallSpec} from './call_spec.js';
import type {CallTrace} from './call_trace.js';

/** What a call at the gateway is about and what it works with. */
export interface GatewayCallOptions {
  readonly spec: CallSpec;
  readonly sink: ResponseSink;
  readonly fleet: Fleet;
  readonly client: BackendClient;
  readonly now: () => number;
  /** Takes one retry from the budget; false where there is none. */
  readonly spendRetry: (service: string) => boolean;
  readonly trace: CallTrace;
  readonly onEnd: (outcome: CallOutcome) => void;
}
