import {knownLimits, serverProcessId} from '@figfall/decisions';
import type {
  RateLimitNotice,
  WorkChange,
  ServerProcess,
} from '@figfall/decisions';

/** Requests a second to a server whose limit is 0, if only these tell its end. */
const TRIAL_PER_SECOND = 0.1;

type LimitChange = Extract<WorkChange, {readonly type: 'limit'}>;
type LimitResponse = Parameters<typeof knownLimits.record>[2];

interface LimitBookOptions {
  readonly now: () => number;
  /** Called when the request rate that a server takes has changed. */
  readonly onLimit: (change: {
    readonly serverId: string;
    /** Requests a second; undefined if the limit has ended. */
    readonly limitPerSecond?: number;
    readonly previousPerSecond?: number;
  }) => void;
  /** Tells other gateways of a limit. */
  readonly announce: (change: WorkChange) => void;
}

/** The request rates that servers have named to this gateway or another one. */
export class LimitBook {
  private known: Parameters<typeof knownLimits.find>[0] = new Map();
  /** Server processes that have named a limit when asked for their state. */
  private readonly namedInChecks = new Set<string>();

  constructor(private readonly options: LimitBookOptions) {}

  /** The limit of a server's process; undefined if it has none. */
  find(server: ServerProcess) {
    return knownLimits.find(this.known, server);
  }

  /** True if a server with this id has or had a limit. */
  isRemembered(serverId: string): boolean {
    return this.known.has(serverId);
  }

  /** Ids of all servers that are remembered, also those whose limit ended. */
  serverIds(): readonly string[] {
    return [...this.known.keys()];
  }

  /** All server processes that have a limit. */
  limitedServers() {
    return [...this.known].flatMap(([id, {processStartedAt, perSecond}]) =>
      perSecond === undefined ? [] : [{id, processStartedAt, perSecond}],
    );
  }

  /** Records what a response says; `askedAt` is when its request was sent. */
  record(
    server: ServerProcess,
    rateLimit: RateLimitNotice,
    askedAt: number,
  ): void {
    const heardAt = this.options.now();
    const hasChanged = this.apply(server, {rateLimit, askedAt, heardAt});
    if (hasChanged) this.announce(server);
  }

  /**
   * Records what a server said when it was asked about its state. That it names
   * no limit there means nothing unless it has named one there. A limit of 0
   * that only responses to requests name gets a request now and then.
   */
  recordCheck(
    server: ServerProcess,
    rateLimit: RateLimitNotice,
    askedAt: number,
  ): void {
    const key = serverProcessId(server);
    if (rateLimit.type === 'named') this.namedInChecks.add(key);
    if (rateLimit.type !== 'none' || this.namedInChecks.has(key)) {
      return this.record(server, rateLimit, askedAt);
    }
    if (this.find(server)?.perSecond !== 0) return;
    const trial = {type: 'named', perSecond: TRIAL_PER_SECOND} as const;
    this.record(server, trial, askedAt);
  }

  /** Applies what another gateway knows, and objects if it is outdated. */
  applyRemote(change: LimitChange): void {
    const {serverId: id, processStartedAt, perSecond} = change;
    const now = this.options.now();
    const rateLimit: RateLimitNotice =
      perSecond === undefined ? {type: 'none'} : {type: 'named', perSecond};
    const askedAt = now - change.askedAgoMs;
    const heardAt = now - change.heardAgoMs;
    const server = {id, processStartedAt};
    const before = this.find(server);
    this.apply(server, {rateLimit, askedAt, heardAt});
    const isOutdated =
      before !== undefined &&
      before === this.find(server) &&
      before.perSecond !== perSecond;
    if (isOutdated) this.announce(server);
  }

  /** Changes that tell another gateway of all limits. */
  changesForNewPeer(): readonly WorkChange[] {
    return this.limitedServers().flatMap(({id}) => this.changeOf(id) ?? []);
  }

  removeExpired(isListed: (serverId: string) => boolean): void {
    const {now} = this.options;
    this.known = knownLimits.removeExpired(this.known, isListed, now());
    const keys = new Set(this.limitedServers().map(serverProcessId));
    [...this.namedInChecks]
      .filter(key => !keys.has(key))
      .forEach(key => this.namedInChecks.delete(key));
  }

  /** Records a response; true if the server's rate has changed. */
  private apply(server: ServerProcess, response: LimitResponse): boolean {
    const before = this.find(server)?.perSecond;
    this.known = knownLimits.record(this.known, server, response);
    const after = this.find(server)?.perSecond;
    if (after === before) return false;
    this.options.onLimit({
      serverId: server.id,
      limitPerSecond: after,
      previousPerSecond: before,
    });
    return true;
  }

  private announce({id}: ServerProcess): void {
    const change = this.changeOf(id);
    if (change) this.options.announce(change);
  }

  private changeOf(serverId: string): WorkChange | undefined {
    const known = this.known.get(serverId);
    if (!known) return undefined;
    const now = this.options.now();
    const {processStartedAt, perSecond, askedAt, heardAt} = known;
    return {
      type: 'limit',
      serverId,
      processStartedAt,
      perSecond,
      askedAgoMs: now - askedAt,
      heardAgoMs: now - heardAt,
    };
  }
}
