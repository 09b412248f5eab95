import type {Placement} from '../core/placement.js';
import type {CallSpec} from './call_spec.js';

/** Receives the decisions made on a request, for the log. */
export interface CallObserver {
  /** Called when a request starts to wait for servers or their permits. */
  readonly onWaiting: (spec: CallSpec, reason: string) => void;
  /** Called when an attempt is placed; `attempt` counts from 1. */
  readonly onPlaced: (
    spec: CallSpec,
    placement: Placement,
    attempt: number,
  ) => void;
  /** Called when an attempt ends without a complete response. */
  readonly onAttemptEnded: (spec: CallSpec, attempt: AttemptEnd) => void;
  /** Called when an error that nothing expected ends the request. */
  readonly onDefect: (spec: CallSpec, error: Error) => void;
}

interface AttemptEnd {
  readonly serverId: string;
  readonly result: string;
  readonly reason: string;
  /** HTTP status of the server's response, if it was a failure. */
  readonly serverStatus?: number;
  /** True if the attempt had delivered events of a stream. */
  readonly hadEvents?: boolean;
  /** Milliseconds since the server was last heard. */
  readonly silentMs?: number;
  /** True if the caller's slow reading held the stream up. */
  readonly isPaused?: boolean;
  /** True for an attempt beside a silent one. */
  readonly isHedge?: boolean;
  /** Milliseconds that a reused connection had lain idle before. */
  readonly idleMs?: number;
}
