import {knownLimits} from '@figfall/decisions';
import type {BackendServer, RateLimitNotice} from '@figfall/decisions';

/** Window in milliseconds in which a gateway's own sends are counted. */
const SENDS_WINDOW_MS = 4_000;

type ServerProcess = Pick<BackendServer, 'id' | 'processStartedAt'>;

interface RateLimitsOptions {
  readonly now: () => number;
  /** The listed server with an id. */
  readonly find: (serverId: string) => BackendServer | undefined;
  /** Called when the request rate that a server takes has changed. */
  readonly onLimit: (change: {
    readonly serverId: string;
    /** Requests a second; undefined if the limit has ended. */
    readonly limitPerSecond?: number;
    readonly previousPerSecond?: number;
  }) => void;
}

/** A server's limit as a gateway sees it, for logs and metrics. */
interface LimitStatus {
  /** Requests a second that the server takes from all gateways together. */
  readonly limitPerSecond: number;
  /** Milliseconds since this rate became known here. */
  readonly limitAgeMs: number;
  /** Requests that this gateway sent there in the last 4 s. */
  readonly limitSent: number;
}

/** The request rates that backend servers have named. */
export class RateLimits {
  private known: Parameters<typeof knownLimits.find>[0] = new Map();
  /** Times in milliseconds of own sends to each limited server. */
  private readonly sends = new Map<string, readonly number[]>();

  constructor(private readonly options: RateLimitsOptions) {}

  /** Records what a response says; `askedAt` is when its request was sent. */
  record(
    server: ServerProcess,
    rateLimit: RateLimitNotice,
    askedAt: number,
  ): void {
    const before = knownLimits.find(this.known, server)?.perSecond;
    const heardAt = this.options.now();
    const response = {rateLimit, askedAt, heardAt};
    this.known = knownLimits.record(this.known, server, response);
    const after = knownLimits.find(this.known, server)?.perSecond;
    if (after === before) return;
    this.options.onLimit({
      serverId: server.id,
      limitPerSecond: after,
      previousPerSecond: before,
    });
  }

  /** Counts a request that was sent to a server. */
  recordSend(serverId: string): void {
    if (!this.limitOf(serverId)) return;
    this.sends.set(serverId, [
      ...this.recentSends(serverId),
      this.options.now(),
    ]);
  }

  /** A server's limit; undefined if it has none. */
  status(serverId: string): LimitStatus | undefined {
    const limit = this.limitOf(serverId);
    if (limit?.perSecond === undefined) return undefined;
    return {
      limitPerSecond: limit.perSecond,
      limitAgeMs: Math.round(this.options.now() - limit.knownSince),
      limitSent: this.recentSends(serverId).length,
    };
  }

  /** Ids of the listed servers that have a limit. */
  limitedServers(): readonly string[] {
    return [...this.known.keys()].filter(id => this.limitOf(id));
  }

  removeExpired(): void {
    const {find, now} = this.options;
    const isListed = (id: string) => find(id) !== undefined;
    this.known = knownLimits.removeExpired(this.known, isListed, now());
    [...this.sends.keys()]
      .filter(id => !this.known.has(id))
      .forEach(id => this.sends.delete(id));
  }

  private limitOf(serverId: string) {
    const server = this.options.find(serverId);
    return server && knownLimits.find(this.known, server);
  }

  private recentSends(serverId: string): readonly number[] {
    const since = this.options.now() - SENDS_WINDOW_MS;
    return (this.sends.get(serverId) ?? []).filter(at => at > since);
  }
}
