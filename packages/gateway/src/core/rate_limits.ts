import type {BackendServer, Candidate, ServerProcess} from '@figfall/decisions';
import {LimitBook} from './limit_book.js';
import {RatePermits} from './rate_permits.js';

/** Window in milliseconds in which a gateway's own sends are counted. */
const SENDS_WINDOW_MS = 4_000;

/** Limit in requests a second below which its server is asked for its state. */
const CHECK_BELOW_PER_SECOND = 0.25;

type RateLimitsOptions = ConstructorParameters<typeof LimitBook>[0] &
  Omit<
    ConstructorParameters<typeof RatePermits>[0],
    'limitedServers' | 'limitOf'
  > & {
    /** The listed server with an id. */
    readonly find: (serverId: string) => BackendServer | undefined;
  };

/** A server's limit as a gateway sees it, for logs and metrics. */
interface LimitStatus {
  /** Requests a second that the server takes from all gateways together. */
  readonly limitPerSecond: number;
  /** Milliseconds since this rate became known here. */
  readonly limitAgeMs: number;
  /** Requests that this gateway sent there in the last 4 s. */
  readonly limitSent: number;
  /** Permits that this gateway holds now. */
  readonly limitPermits: number;
}

/** Request rates of the listed servers, and this gateway's permits for them. */
export class RateLimits {
  /** The request rates that servers have named. */
  readonly book: LimitBook;
  readonly permits: RatePermits;
  /** Times in milliseconds of own sends to each limited server. */
  private readonly sends = new Map<string, readonly number[]>();

  constructor(private readonly options: RateLimitsOptions) {
    this.book = new LimitBook(options);
    this.permits = new RatePermits({
      ...options,
      limitedServers: () => this.book.limitedServers(),
      limitOf: server => this.book.find(server)?.perSecond,
    });
  }

  /**
   * Listed servers with limits so low that requests hardly tell when they end,
   * as far as this gateway issues their permits.
   */
  serversToCheck(): readonly BackendServer[] {
    return this.book
      .limitedServers()
      .filter(({perSecond}) => perSecond < CHECK_BELOW_PER_SECOND)
      .filter(server => this.permits.isIssuerOf(server))
      .flatMap(({id}) => this.options.find(id) ?? []);
  }

  /** Counts a request that was sent to a server. */
  recordSend(serverId: string): void {
    if (!this.limitOf(serverId)) return;
    this.sends.set(serverId, [
      ...this.recentSends(serverId),
      this.options.now(),
    ]);
  }

  /** A server's limit and own permits, as placement weighs them. */
  candidateLimit(serverId: string): Candidate['rateLimit'] {
    const perSecond = this.limitOf(serverId)?.perSecond;
    const server = this.options.find(serverId);
    if (!server || perSecond === undefined) return undefined;
    return {perSecond, permits: this.permits.usable(server)};
  }

  /** Asks for a permit of each limited server that has none, for the next. */
  wantForLater(candidates: readonly Candidate[]): void {
    candidates
      .filter(({rateLimit}) => rateLimit?.permits === 0)
      .forEach(({server}) => this.permits.want(server, 1));
  }

  /** Uses a permit for a request to a server, if that has a limit. */
  take(serverId: string): void {
    const server = this.options.find(serverId);
    if (server && this.limitOf(serverId)) this.permits.take(server);
  }

  /** Takes back the use of a permit whose request was not sent. */
  giveBack(serverId: string): void {
    const server = this.options.find(serverId);
    if (server && this.limitOf(serverId)) this.permits.giveBack(server);
  }

  /** The rate that a server's issuer can permit, and who else waits for it. */
  issuedRate(server: ServerProcess) {
    const {heardAt, othersWaiting, perSecond} = this.permits.issuerOf(server);
    const limit = this.book.find(server);
    const named = limit?.perSecond ?? 0;
    const isOutdated = heardAt < (limit?.knownSince ?? 0);
    const issued = isOutdated ? named : (perSecond ?? named);
    return {heardAt, othersWaiting, perSecond: issued};
  }

  /** A server's limit; undefined if it has none. */
  status(serverId: string): LimitStatus | undefined {
    const server = this.options.find(serverId);
    const limit = this.limitOf(serverId);
    if (!server || limit?.perSecond === undefined) return undefined;
    return {
      limitPerSecond: limit.perSecond,
      limitAgeMs: Math.round(this.options.now() - limit.knownSince),
      limitSent: this.recentSends(serverId).length,
      limitPermits: this.permits.usable(server),
    };
  }

  /** Explains the limits of servers, for logs and refusals. */
  describe(candidates: readonly Pick<Candidate, 'server'>[]): string {
    return candidates
      .flatMap(({server}) => {
        const status = this.status(server.id);
        if (!status) return [];
        const {limitPerSecond, limitAgeMs, limitPermits} = status;
        const {issuer = 'none', othersWaiting} = this.permits.issuerOf(server);
        return [
          `${server.id}: ${limitPerSecond}/s known for ${limitAgeMs} ms, permits here: ${limitPermits}, issuer: ${issuer}, others waiting: ${othersWaiting}.`,
        ];
      })
      .join(' ');
  }

  /** Ids of the listed servers that have a limit. */
  limitedServerIds(): readonly string[] {
    return this.book.serverIds().filter(id => this.limitOf(id));
  }

  removeExpired(): void {
    const {find} = this.options;
    this.book.removeExpired(id => find(id) !== undefined);
    const ids = new Set(this.book.serverIds());
    [...this.sends.keys()]
      .filter(id => !ids.has(id))
      .forEach(id => this.sends.delete(id));
  }

  private limitOf(serverId: string) {
    if (!this.book.isRemembered(serverId)) return undefined;
    const server = this.options.find(serverId);
    return server && this.book.find(server);
  }

  private recentSends(serverId: string): readonly number[] {
    const since = this.options.now() - SENDS_WINDOW_MS;
    return (this.sends.get(serverId) ?? []).filter(at => at > since);
  }
}
