import type {
  BackendArrival,
  BackendRun,
  CallerOutcome,
  NoticeResponse,
  RequestExecution,
} from '@figfall/gateway-server/testing';

/** A span of monotonic time in milliseconds. */
interface TimeSpan {
  readonly from: number;
  readonly to: number;
}

/** What was observed during a soak run, as input of the invariant checks. */
export interface SoakObservations {
  readonly outcomes: readonly CallerOutcome[];
  readonly executions: readonly RequestExecution[];
  /** Requests that reached backend servers, also those turned away. */
  readonly arrivals: readonly BackendArrival[];
  /** Runs of requests by backend servers that have ended. */
  readonly runs: readonly BackendRun[];
  /** Responses in which backend servers said something of themselves. */
  readonly noticeResponses: readonly NoticeResponse[];
  readonly gatewayByRequestId: ReadonlyMap<string, string>;
  /** Monotonic time in milliseconds at which each request was sent. */
  readonly sentAtByRequestId: ReadonlyMap<string, number>;
  /** Spans in which a gateway was paused or down; `stop`: after its exit. */
  readonly gatewayDisruptions: readonly (TimeSpan & {
    readonly gateway: string;
    readonly cause: 'kill' | 'pause' | 'stop';
  })[];
  /** Spans in which the link to a server stalled the connections in use. */
  readonly linkHarms: readonly (TimeSpan & {readonly serverId: string})[];
  /** Spans in which the harness's own event loop was late. */
  readonly harnessDelays: readonly TimeSpan[];
  /** Backend servers that drained, and when the store listed them as draining. */
  readonly drains: readonly {
    readonly serverId: string;
    /** Monotonic time in milliseconds. */
    readonly startedAt: number;
  }[];
  /** Spans in which a gateway was paused, or its access to the store disrupted. */
  readonly disruptions: readonly TimeSpan[];
  /** Crashes of model engines under a part of a prompt. */
  readonly promptCrashes: readonly {
    readonly part: string;
    /** Monotonic time in milliseconds. */
    readonly at: number;
  }[];
  /** The crashing part of each request that has one. */
  readonly crashingPartByRequestId: ReadonlyMap<string, string>;
  /** Gateways that were asked to stop; the exit code is null after a signal. */
  readonly stops: readonly {
    readonly gateway: string;
    /** Monotonic time in milliseconds. */
    readonly from: number;
    readonly durationMs: number;
    readonly exitCode: number | null;
  }[];
  /** Gateway processes that exited without being asked to, with the reason. */
  readonly unexpectedExits: readonly string[];
  /** Peak memory of each gateway's processes, and what its machine has. */
  readonly memory: readonly {
    readonly gateway: string;
    readonly peakMb: number;
    readonly limitMb: number;
  }[];
  /** Requests sent after all faults ended; no status if there was no response. */
  readonly finalRequests: readonly {
    readonly gateway: string;
    readonly description: string;
    readonly expectedStatus: number;
    readonly status?: number;
  }[];
  /** Reservations still held at the end of the run. */
  readonly leakedReservationIds: readonly string[];
}
