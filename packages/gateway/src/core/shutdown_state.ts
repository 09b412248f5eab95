import {createFailure, shutdownSchedule} from '@figfall/decisions';
import type {Failure} from '@figfall/decisions';
import type {CallSpec} from '../calls/call_spec.js';
import type {CallerRequest} from '../ports/caller_request.js';

const FAILURE = createFailure('leaving', 'The gateway is shutting down.');

interface Shutdown {
  /** Monotonic time in milliseconds. */
  readonly startedAt: number;
  /** Milliseconds until the platform kills the process. */
  readonly graceMs: number;
}

/** How far the shutdown of a gateway has come, and what it may still begin. */
export class ShutdownState {
  private shutdown?: Shutdown;

  /** @param now Returns monotonic time in milliseconds. */
  constructor(private readonly now: () => number) {}

  start(graceMs: number): void {
    this.shutdown = {startedAt: this.now(), graceMs};
  }

  hasStarted(): boolean {
    return this.shutdown !== undefined;
  }

  failure(): Failure {
    return FAILURE;
  }

  /** Why a new request is rejected, if it is. */
  requestRefusal(): Failure | undefined {
    return this.phase() === 'accepting' ? undefined : FAILURE;
  }

  /** True while requests may be sent to backend servers. */
  maySend(): boolean {
    return ['accepting', 'finishing'].includes(this.phase());
  }

  /** Why a request must not be sent to a backend server, if that is so. */
  sendRefusal({idempotent, route}: CallSpec): Failure | undefined {
    const leftMs = this.endsAt() - this.now();
    const booked = {idempotent, latencyTargetMs: route.latencyTargetMs};
    const leavesTime = shutdownSchedule.leavesTime(booked, leftMs);
    return this.maySend() && leavesTime ? undefined : FAILURE;
  }

  /** Limits the time that a caller waits to the time that is left. */
  limitTimeout(req: CallerRequest): CallerRequest {
    const timeoutMs = Math.min(req.timeoutMs, this.endsAt() - req.arrivedAt);
    return {...req, timeoutMs};
  }

  private phase() {
    if (!this.shutdown) return 'accepting';
    const {startedAt, graceMs} = this.shutdown;
    return shutdownSchedule.phase(this.now() - startedAt, graceMs);
  }

  /** Monotonic time in milliseconds at which the process ends. */
  private endsAt(): number {
    if (!this.shutdown) return Infinity;
    const {startedAt, graceMs} = this.shutdown;
    return startedAt + shutdownSchedule.endMs(graceMs);
  }
}
