import type {BackendServer, PromptPlacement} from '@figfall/decisions';
import {GATEWAY} from '../constants.js';
import type {Fleet} from '../core/fleet.js';
import type {BackendClient} from '../ports/backend_client.js';
import type {BackendEvent} from '../ports/backend_event.js';
import {AttemptWorks} from './attempt_works.js';
import type {CallSpec} from './call_spec.js';
import {ReservationGroup} from './reservation_group.js';

interface BackendAttemptOptions {
  readonly spec: CallSpec;
  readonly attemptId: string;
  readonly placement: PromptPlacement;
  readonly server: BackendServer;
  /** Last event that the caller has. */
  readonly lastEventId?: number;
  readonly fleet: Fleet;
  readonly client: BackendClient;
  readonly now: () => number;
  readonly onEvent: (event: BackendEvent) => void;
  /** KV cache for the prompt could not be reserved. */
  readonly onNoMemory: () => void;
}

/** What a denied reservation tells of its server. */
const DENIAL_OUTCOMES = {
  refused: 'memory-full',
  unanswered: 'unreachable',
} as const;

type Exchange = ReturnType<BackendClient['send']>;

function priorityOf({req}: CallSpec): number | undefined {
  if (!req.prompt) return undefined;
  return req.prompt.promptTokens > GATEWAY.LONG_PROMPT_TOKENS
    ? GATEWAY.LONG_PRIORITY
    : GATEWAY.SHORT_PRIORITY;
}

/** One attempt at a backend server, with the reservations that it needs. */
export class BackendAttempt {
  private readonly works: AttemptWorks;
  private readonly reservations?: ReservationGroup;
  private exchange?: Exchange;
  private isOver = false;
  private sentAt = 0;

  constructor(private readonly options: BackendAttemptOptions) {
    const {fleet, attemptId, spec, placement, client} = options;
    this.works = new AttemptWorks(fleet, attemptId, spec, placement);
    const reserved = placement.helpers.flatMap(({serverId, reserveTokens}) => {
      const server = fleet.find(serverId);
      return server && reserveTokens > 0
        ? [{server, reservationId: attemptId, tokens: reserveTokens}]
        : [];
    });
    if (reserved.length === 0) {
      this.send();
      return;
    }
    this.reservations = new ReservationGroup(client, reserved);
    void this.reserveAndSend(this.reservations);
  }

  /** Notes that the first events came; returns whether that was news. */
  prefilled(): boolean {
    return this.works.prefilled(this.reservations !== undefined);
  }

  pause(): void {
    this.exchange?.pause();
  }

  resume(): void {
    this.exchange?.resume();
  }

  /** Ends the attempt and frees what it holds. */
  end(): void {
    if (this.isOver) return;
    this.isOver = true;
    this.exchange?.cancel();
    this.reservations?.release();
    this.works.endAll();
  }

  private async reserveAndSend(group: ReservationGroup): Promise<void> {
    const denials = await group.acquire();
    denials.forEach(({server, result}) =>
      this.options.fleet.record(server.id, DENIAL_OUTCOMES[result]),
    );
    if (this.isOver) return;
    if (denials.length > 0) this.options.onNoMemory();
    else this.send();
  }

  private send(): void {
    const {spec, server, placement, fleet, client, now} = this.options;
    const {attemptId, lastEventId, onEvent} = this.options;
    const {req} = spec;
    const helpers = placement.helpers.flatMap(({serverId, reserveTokens}) => {
      const helper = fleet.find(serverId);
      if (!helper) return [];
      const reservationId = reserveTokens > 0 ? attemptId : undefined;
      return [{server: helper, reservationId}];
    });
    this.sentAt = now();
    this.exchange = client.send(
      {
        requestId: req.requestId,
        server,
        method: req.method,
        target: req.target,
        headers: req.headers,
        body: req.body,
        workspace: spec.workspace,
        timeoutMs: Math.max(1, Math.floor(spec.deadlineAt - now())),
        lastEventId,
        helpers,
        priority: priorityOf(spec),
      },
      event => {
        if (this.isOver) return;
        this.watch(event);
        onEvent(event);
      },
    );
  }

  /** Learns whether the request may be what breaks servers. */
  private watch({type}: BackendEvent): void {
    const {spec, server, fleet, now} = this.options;
    const {suspects} = fleet;
    if (type === 'failed') {
      suspects.broke(spec, server.id, now() - this.sentAt);
    }
    if (type === 'response' || type === 'end') suspects.answered(spec);
  }
}
