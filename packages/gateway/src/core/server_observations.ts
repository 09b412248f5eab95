import {passiveHealth, serverNotices} from '@figfall/decisions';
import type {BackendServer, ServerHealth, WorkChange} from '@figfall/decisions';

type Outcome = Parameters<typeof passiveHealth.record>[1];

interface ServerObservationsOptions {
  readonly now: () => number;
  /** Called when a server will be avoided, for `ms` milliseconds or for good. */
  readonly onAvoided: (serverId: string, reason: string, ms?: number) => void;
}

/** What a gateway has learned of backend servers from their responses. */
export class ServerObservations {
  private readonly healthById = new Map<string, ServerHealth>();
  private noticesOfServers = serverNotices.empty();

  constructor(private readonly options: ServerObservationsOptions) {}

  get health(): ReadonlyMap<string, ServerHealth> {
    return this.healthById;
  }

  get notices() {
    return this.noticesOfServers;
  }

  /** Records how an attempt at a server ended. */
  recordOutcome(serverId: string, outcome: Outcome): void {
    const {now, onAvoided} = this.options;
    const at = now();
    const health = this.healthById.get(serverId) ?? passiveHealth.initial(at);
    const next = passiveHealth.record(health, outcome, at);
    this.healthById.set(serverId, next);
    if (next.avoidUntil > health.avoidUntil) {
      onAvoided(serverId, outcome, next.avoidUntil - at);
    }
  }

  /** Records that a server leaves; false if that was known. */
  recordLeaving(
    server: Pick<BackendServer, 'id' | 'processStartedAt'>,
  ): boolean {
    if (serverNotices.isLeaving(this.noticesOfServers, server)) return false;
    const now = this.options.now();
    this.noticesOfServers = serverNotices.recordLeaving(
      this.noticesOfServers,
      server,
      now,
    );
    this.options.onAvoided(server.id, 'leaving');
    return true;
  }

  /** Records that a server wants no requests for `pauseMs` milliseconds. */
  recordPause(serverId: string, pauseMs: number): void {
    const {now, onAvoided} = this.options;
    const before = this.noticesOfServers;
    this.noticesOfServers = serverNotices.recordPause(
      before,
      serverId,
      pauseMs,
      now(),
    );
    if (this.noticesOfServers === before) return;
    onAvoided(serverId, 'pause', this.pauseLeftMs(serverId));
  }

  /** Milliseconds until a server's pause is over; 0 without a pause. */
  pauseLeftMs(serverId: string): number {
    return serverNotices.pauseLeftMs(
      this.noticesOfServers,
      serverId,
      this.options.now(),
    );
  }

  /** True if a server takes new requests from this gateway. */
  isOpen(server: BackendServer): boolean {
    return serverNotices.isOpen(
      this.noticesOfServers,
      server,
      this.options.now(),
    );
  }

  /** Changes that tell another gateway which servers leave. */
  leavingChanges(): readonly WorkChange[] {
    return serverNotices
      .leavingServers(this.noticesOfServers)
      .map(({id, processStartedAt}) => ({
        type: 'leaving',
        serverId: id,
        processStartedAt,
      }));
  }

  /** Drops the health of unlisted servers; what they said is kept. */
  retainHealth(listed: ReadonlyMap<string, unknown>): void {
    [...this.healthById.keys()]
      .filter(id => !listed.has(id))
      .forEach(id => this.healthById.delete(id));
  }

  removeExpired(): void {
    this.noticesOfServers = serverNotices.removeExpired(
      this.noticesOfServers,
      this.options.now(),
    );
  }
}
