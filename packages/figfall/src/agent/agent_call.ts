import type {CallRecord} from '@figfall/decisions';
import type {OpenCall, PlainServiceResponse} from '@figfall/node-link';
import type {Span} from '@opentelemetry/api';

/** One call at an agent. Only the agent's task changes it. */
export interface AgentCall {
  readonly open: OpenCall;
  readonly deadlineAt: number;
  readonly abort: AbortController;
  readonly span: Span;
  /** Parts of the body that have come, in order. */
  readonly chunks: Uint8Array[];
  receivedBytes: number;
  /** Texts that were generated; the same array as in `record`. */
  readonly texts: string[];
  record: CallRecord;
  /** Engine priority, once the door has dispatched the call. */
  priority?: number;
  /** True once the backend server has been called. */
  started: boolean;
  sampledAt: number;
  response?: PlainServiceResponse;
  carry?: string;
  askAgent?: string;
}
