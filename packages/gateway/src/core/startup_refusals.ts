import {createFailure, returnTimes} from '@figfall/decisions';
import type {Failure, RandomSource} from '@figfall/decisions';
import type {CallerRequest} from '../ports/caller_request.js';

/**
 * Durations so far for which an outage is awaited. If the odds of its end fall
 * with its age, three of four outages are over by then.
 */
const OUTAGE_FACTOR = 3;

/** Milliseconds between the returns of two callers. */
const SPACING_MS = 20;

interface StartupRefusalsOptions {
  readonly random: RandomSource;
  /** Monotonic time in milliseconds. */
  readonly now: () => number;
}

/**
 * Rejections of a gateway that has not read the configuration or the backend
 * servers from the store yet.
 */
export class StartupRefusals {
  private times = returnTimes.empty();
  private readonly createdAt: number;

  constructor(private readonly options: StartupRefusalsOptions) {
    this.createdAt = options.now();
  }

  /** Tells the caller when to return. */
  withReturnTime(failure: Failure, req: CallerRequest): Failure {
    const {random} = this.options;
    const now = this.options.now();
    const caller = {
      expectedMs: (now - this.createdAt) * OUTAGE_FACTOR,
      leftMs: req.arrivedAt + req.timeoutMs - now,
      spacingMs: SPACING_MS,
    };
    const next = returnTimes.next(this.times, caller, random, now);
    this.times = next.state;
    return {...failure, retryAfterMs: next.retryAfterMs};
  }

  /** Rejection of a request whose backend servers are not known. */
  serversUnknown(service: string, req: CallerRequest): Failure {
    const message = `The gateway does not know the backend servers of service ${service} yet.`;
    return this.withReturnTime(
      createFailure('no-backend-server', message),
      req,
    );
  }
}
