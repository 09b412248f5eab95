import {createFailure} from '@figfall/decisions';
import type {BackendServer, PromptPlacement} from '@figfall/decisions';
import {reportDefect} from '@figfall/task';
import type {Fleet} from '../core/fleet.js';
import type {BackendClient} from '../ports/backend_client.js';
import type {BackendEvent} from '../ports/backend_event.js';
import type {BackendRequest} from '../ports/backend_request.js';
import {AttemptWork} from './attempt_work.js';
import type {CallSpec} from './call_spec.js';
import {enginePriority} from './engine_priority.js';
import {isErrorStatus} from './is_error_status.js';
import {placementServers} from './placement_servers.js';
import {ReservationGroup} from './reservation_group.js';

interface BackendAttemptOptions {
  readonly spec: CallSpec;
  readonly attemptId: string;
  readonly placement: PromptPlacement;
  readonly server: BackendServer;
  /** Id of the last stream event that the caller has received. */
  readonly lastEventId?: number;
  readonly fleet: Fleet;
  readonly client: BackendClient;
  readonly now: () => number;
  /** Runs an action once what callers have sent by then has been read. */
  readonly afterReads: (action: () => void) => void;
  readonly onEvent: (event: BackendEvent) => void;
}

/** Health outcome recorded for a server by the result of its reservation. */
const DENIAL_OUTCOMES = {
  refused: 'memory-full',
  unanswered: 'unreachable',
} as const;

/** Events that only a server which is up can cause. */
const RESPONSES: readonly BackendEvent['type'][] = [
  'head',
  'events',
  'response',
];

type Exchange = ReturnType<BackendClient['send']>;

/** True for what no server sends that crashes under the request. */
function isWholeAnswer(event: BackendEvent): boolean {
  if (event.type === 'end') return true;
  // A server that fails part of its requests answers without running them.
  return event.type === 'response' && !isErrorStatus(event.head.status);
}

/** One attempt at a backend server, with the KV cache that it reserves. */
export class BackendAttempt {
  private readonly work: AttemptWork;
  private readonly reservations?: ReservationGroup;
  private exchange?: Exchange;
  private hasEnded = false;
  private paused = false;
  private sentAt = 0;

  constructor(private readonly options: BackendAttemptOptions) {
    const {fleet, attemptId, spec, placement, client} = options;
    this.work = new AttemptWork(fleet, attemptId, spec, placement);
    const reserved = placement.helpers.flatMap(({serverId, reservedTokens}) => {
      const server = fleet.find(serverId);
      return server && reservedTokens > 0
        ? [{server, reservationId: attemptId, tokens: reservedTokens}]
        : [];
    });
    if (reserved.length === 0) {
      this.send();
      return;
    }
    this.reservations = new ReservationGroup({
      client,
      reservations: reserved,
      primary: options.server,
      onPrimaryLost: () => this.onPrimaryLost(),
    });
    this.reserveAndSend(this.reservations).catch((error: Error) => {
      reportDefect(error);
      this.refuseUnsent(error);
    });
  }

  /** Records that the first events arrived; false where that was known. */
  markPrefilled(): boolean {
    return this.work.markPrefilled(this.reservations !== undefined);
  }

  /** True if it has reserved KV cache on other servers. */
  holdsMemory(): boolean {
    return this.reservations !== undefined;
  }

  /** Whether it has delivered events of a stream, and whether it is paused. */
  progress() {
    return {hadEvents: this.work.hasPrefilled(), isPaused: this.paused};
  }

  /** Stops reading from the server, because the caller reads too slowly. */
  pause(): void {
    this.paused = true;
    this.exchange?.pause();
  }

  resume(): void {
    this.paused = false;
    this.exchange?.resume();
  }

  isPaused(): boolean {
    return this.paused;
  }

  /** Cancels the exchange and frees the attempt's reservations and work. */
  end(): void {
    if (this.hasEnded) return;
    this.hasEnded = true;
    if (!this.exchange) this.giveBackPermits();
    this.exchange?.cancel();
    this.reservations?.release();
    this.work.endAll();
  }

  private giveBackPermits(): void {
    const {fleet, placement} = this.options;
    placementServers(placement).forEach(id => fleet.limits.giveBack(id));
  }

  private onPrimaryLost(): void {
    if (this.hasEnded) return;
    const reason = 'The backend server no longer responds.';
    this.options.onEvent({type: 'failed', reason});
  }

  private async reserveAndSend(group: ReservationGroup): Promise<void> {
    const denials = await group.acquire();
    denials.forEach(({server, result}) =>
      this.options.fleet.recordOutcome(server.id, DENIAL_OUTCOMES[result]),
    );
    if (denials.length > 0) return this.refuseUnreserved();
    this.options.afterReads(() => this.sendReserved());
  }

  private sendReserved(): void {
    if (this.hasEnded) return;
    if (this.areServersOpen()) return this.send();
    this.refuseUnreserved();
  }

  private refuseUnreserved(): void {
    if (this.hasEnded) return;
    const failure = createFailure('memory-full', 'KV cache was not granted.');
    this.options.onEvent({type: 'refused', failure, unreachable: false});
  }

  /** False if a server left or paused while memory was being reserved. */
  private areServersOpen(): boolean {
    const {fleet, server, placement} = this.options;
    const helpers = placement.helpers.flatMap(
      ({serverId}) => fleet.find(serverId) ?? [],
    );
    return [server, ...helpers].every(other => fleet.isOpen(other));
  }

  private send(): void {
    const {placement, fleet, client, now} = this.options;
    this.sentAt = now();
    placementServers(placement).forEach(id => fleet.limits.recordSend(id));
    try {
      const req = this.buildRequest();
      this.exchange = client.send(req, event => this.receive(event));
    } catch (error) {
      this.refuseUnsent(error as Error);
    }
  }

  private buildRequest(): BackendRequest {
    const {spec, server, lastEventId, now} = this.options;
    const {requestId, method, target, headers, body, memory} = spec.req;
    return {
      requestId,
      server,
      method,
      target,
      headers,
      body,
      workspace: spec.workspace,
      idempotent: spec.idempotent,
      timeoutMs: Math.max(1, Math.floor(spec.deadlineAt - now())),
      lastEventId,
      helpers: this.helpers(),
      priority: enginePriority(spec),
      memory,
    };
  }

  private helpers(): BackendRequest['helpers'] {
    const {placement, fleet, attemptId} = this.options;
    return placement.helpers.flatMap(({serverId, reservedTokens}) => {
      const server = fleet.find(serverId);
      if (!server) return [];
      const reservationId = reservedTokens > 0 ? attemptId : undefined;
      return [{server, reservationId}];
    });
  }

  private receive(event: BackendEvent): void {
    if (this.hasEnded) return;
    this.updateSuspects(event);
    this.options.onEvent(event);
  }

  /** Ends the attempt, later, because the client could not send its request. */
  private refuseUnsent({message}: Error): void {
    const {server, onEvent} = this.options;
    const reason = `The request can't be sent to ${server.id}: ${message}`;
    const failure = createFailure('send-failed', reason);
    queueMicrotask(() => {
      if (!this.hasEnded)
        onEvent({type: 'refused', failure, unreachable: false});
    });
  }

  /** Tracks whether this request may be crashing backend servers. */
  private updateSuspects(event: BackendEvent): void {
    const {spec, server, now, fleet} = this.options;
    const {suspects} = fleet;
    if (event.type === 'failed' && !event.isAlive) {
      const {hadEvents} = this.progress();
      const heldMs = now() - this.sentAt;
      suspects.recordLoss(spec, {server, heldMs, hadEvents});
    }
    if (RESPONSES.includes(event.type)) {
      suspects.recordResponse(server.id, this.sentAt);
    }
    // The end of a resumed stream says nothing of its beginning.
    const ranFromStart = this.options.lastEventId === undefined;
    if (ranFromStart && isWholeAnswer(event)) suspects.recordAnswer(spec);
  }
}
