import {createFailure} from '@figfall/decisions';
import type {BackendServer, Failure} from '@figfall/decisions';
import {err, ok} from 'neverthrow';
import type {Result} from 'neverthrow';
import {GATEWAY} from '../constants.js';
import type {PlaceOptions} from '../core/place_options.js';
import type {Placement} from '../core/placement.js';
import type {BackendEvent} from '../ports/backend_event.js';
import {BackendAttempt} from './backend_attempt.js';
import type {CallSpec} from './call_spec.js';
import type {GatewayCallContext} from './gateway_call_context.js';
import {placementServers} from './placement_servers.js';

interface AttemptTarget {
  readonly attemptId: string;
  readonly placement: Placement;
  readonly server: BackendServer;
  /** Id of the last stream event that the caller has received. */
  readonly lastEventId?: number;
  readonly onEvent: (event: BackendEvent) => void;
}

const DEADLINE_PASSED = createFailure(
  'deadline-exceeded',
  'The deadline passed before the request could be sent.',
  {ran: 'no'},
);

/** Places the attempts of one call within the retry budget, and sends them. */
export class CallAttempts {
  private placed = 0;
  private isWaiting = false;

  constructor(private readonly ctx: GatewayCallContext) {}

  /** Number of attempts placed so far. */
  count(): number {
    return this.placed;
  }

  /** Id of the attempt that was placed last. */
  newestId(): string {
    return `${this.ctx.spec.req.requestId}.${this.placed}`;
  }

  /**
   * Places the next attempt. Fails with `lastFailure` if only the number of
   * servers tried for a first event, or the retry budget, is exhausted.
   */
  place(
    options: PlaceOptions,
    lastFailure?: Failure,
  ): Result<Placement, Failure> {
    const {spec, fleet, observer, spendRetry, sendRefusal, now} = this.ctx;
    if (now() >= spec.deadlineAt) return err(lastFailure ?? DEADLINE_PASSED);
    const refusal = sendRefusal();
    if (refusal) return err(lastFailure ?? refusal);
    const hasBegun = options.lastEventAt !== undefined;
    const isExhausted = !hasBegun && this.placed >= GATEWAY.SERVERS_TRIED_MAX;
    if (isExhausted && lastFailure) {
      return err(lastFailure);
    }
    const placement = fleet.place(this.currentSpec(), options);
    if (placement.isErr()) {
      const {kind, message} = placement.error;
      if (kind === 'not-ready') this.reportWaiting(message);
      return err(placement.error);
    }
    if (this.placed > 0 && !spendRetry(spec.service.name)) {
      const message = 'Too many requests are being retried.';
      return err(lastFailure ?? createFailure('retry-budget', message));
    }
    placementServers(placement.value).forEach(id => fleet.limits.take(id));
    this.placed += 1;
    observer.onPlaced(spec, placement.value, this.placed);
    return ok(placement.value);
  }

  /** Sends the request to the server of a placement. */
  open(target: AttemptTarget): BackendAttempt {
    const {fleet, client, now, afterReads} = this.ctx;
    const spec = this.currentSpec();
    return new BackendAttempt({
      spec,
      fleet,
      client,
      now,
      afterReads,
      ...target,
    });
  }

  /** The request with the priority level of the configuration in force. */
  private currentSpec(): CallSpec {
    const {spec, currentPriority} = this.ctx;
    return {...spec, priority: currentPriority()};
  }

  private reportWaiting(reason: string): void {
    if (!this.isWaiting) this.ctx.observer.onWaiting(this.ctx.spec, reason);
    this.isWaiting = true;
  }
}
