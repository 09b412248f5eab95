import type {Placement} from '../core/placement.js';
import type {CallSpec} from './call_spec.js';

/** Learns of the decisions on a request, for the log. */
export interface CallTrace {
  /** A prompt waits for servers. */
  readonly waits: (spec: CallSpec) => void;
  /** An attempt was placed. */
  readonly placed: (
    spec: CallSpec,
    placement: Placement,
    attempt: number,
  ) => void;
  /** An attempt ended without a whole answer. */
  readonly attemptEnded: (
    spec: CallSpec,
    serverId: string,
    result: string,
    reason: string,
  ) => void;
}
