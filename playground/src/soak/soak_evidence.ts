import type {
  CallerOutcome,
  RequestExecution,
} from '@figfall/gateway-server/testing';

/** A span of steady time in milliseconds. */
interface Span {
  readonly from: number;
  readonly to: number;
}

/** What callers and backend servers saw in a run. */
export interface SoakEvidence {
  readonly outcomes: readonly CallerOutcome[];
  readonly runs: readonly RequestExecution[];
  /** Backend servers that left, with the time the store took that in. */
  readonly leaves: readonly {readonly serverId: string; readonly at: number}[];
  /** Spans in which the store, or a gateway's way to it, was disturbed. */
  readonly disturbed: readonly Span[];
  /** Gateways that were told to stop, and how their processes ended. */
  readonly stops: readonly {
    readonly gateway: string;
    readonly tookMs: number;
    readonly code: number | null;
  }[];
  /** Processes that ended by themselves. */
  readonly crashes: readonly string[];
  /** Requests sent after all faults had gone, with the status that is due. */
  readonly finals: readonly {
    readonly gateway: string;
    readonly what: string;
    readonly expected: number;
    readonly status?: number;
  }[];
  /** Reservations that are left at the end. */
  readonly heldReservations: readonly string[];
}
