import type {CallRecord} from '@figfall/decisions';
import type {OpenCall, PlainServiceResponse} from '@figfall/node-link';
import type {Span} from '@opentelemetry/api';

/** A call at an agent. Only the agent's task modifies it. */
export interface AgentCall {
  readonly open: OpenCall;
  /** Epoch milliseconds. */
  readonly deadlineAt: number;
  readonly abortController: AbortController;
  readonly span: Span;
  /** Received parts of the body, in order; emptied when the call ends. */
  readonly bodyChunks: Uint8Array[];
  receivedBodyBytes: number;
  /** Generated tokens; the same array as in `record`. */
  readonly texts: string[];
  record: CallRecord;
  /** Engine priority, set when the scheduler dispatches the call. */
  priority?: number;
  /** True once the call was sent to the backend server. */
  started: boolean;
  /** Epoch milliseconds of the last sample of the token interval. */
  intervalSampledAt: number;
  response?: PlainServiceResponse;
  /** Handle of the KV cache that holds the prefilled segment. */
  kvCacheHandle?: string;
  /** The only agent that can report the outcome of an earlier attempt. */
  askAgent?: string;
}
