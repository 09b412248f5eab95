import {Agent} from 'node:http';
import type {AgentOptions, ClientRequest, IncomingMessage} from 'node:http';
import type {Duplex} from 'node:stream';
import type {Socket} from 'node:net';
import {idleLimitMs} from './idle_limit_ms.js';

interface IdleLimitedAgentOptions extends Omit<AgentOptions, 'scheduling'> {
  /**
   * Longest time in milliseconds that a connection may lie idle.
   * @default 4_000
   */
  readonly maxIdleMs?: number;
  /**
   * Monotonic time in milliseconds.
   * @default performance.now
   */
  readonly now?: () => number;
}

interface Address {
  readonly host: string;
  readonly port: number;
}

/**
 * Longest time in milliseconds that a connection may have lain idle for a
 * request that is not idempotent. A server may close an idle connection at any
 * time and without a word; whether the request ran is not known then.
 */
const NON_IDEMPOTENT_IDLE_MS = 500;

/** Below the 5 s after which common servers close an idle connection. */
const DEFAULT_MAX_IDLE_MS = 4_000;

/**
 * Keeps connections for reuse, and closes idle ones before their server does.
 * The connection that was used last is reused first.
 */
export class IdleLimitedAgent extends Agent {
  private readonly now: () => number;
  private readonly maxIdleMs: number;
  /** Time in milliseconds since which each connection lies idle. */
  private readonly idleSince = new WeakMap<Duplex, number>();
  /** Milliseconds that the connection of a request had lain idle before it. */
  private readonly idleMsByRequest = new WeakMap<ClientRequest, number>();
  /** `Keep-Alive` header of the last response on each connection. */
  private readonly hints = new WeakMap<Duplex, string | undefined>();

  constructor(options: IdleLimitedAgentOptions = {}) {
    super({...options, keepAlive: true, scheduling: 'lifo'});
    this.now = options.now ?? (() => performance.now());
    this.maxIdleMs = options.maxIdleMs ?? DEFAULT_MAX_IDLE_MS;
  }

  /**
   * Called before a request that is not idempotent: makes it take a new
   * connection, unless one to the address was in use moments ago.
   */
  prepareNonIdempotent(address: Address): void {
    const newest = this.idleConnections(address).at(-1);
    const idleSince = newest && this.idleSince.get(newest);
    if (idleSince === undefined) return;
    if (this.now() - idleSince > NON_IDEMPOTENT_IDLE_MS)
      this.closeIdle(address);
  }

  /** Closes the idle connections to an address. */
  closeIdle(address: Address): void {
    this.idleConnections(address).forEach(socket => socket.destroy());
  }

  private idleConnections(address: Address): readonly Socket[] {
    return this.freeSockets[this.getName(address)] ?? [];
  }

  /**
   * Milliseconds that the connection of a request had lain idle before it;
   * undefined for a new connection.
   */
  idleMs(req: ClientRequest): number | undefined {
    return this.idleMsByRequest.get(req);
  }

  /** Notes what a response says of how long its connection is kept. */
  recordResponse({socket, headers}: IncomingMessage): void {
    const hint = headers['keep-alive'];
    this.hints.set(socket, typeof hint === 'string' ? hint : undefined);
  }

  override keepSocketAlive(stream: Duplex): boolean {
    const isKept = Boolean(super.keepSocketAlive(stream));
    const limitMs = idleLimitMs(this.hints.get(stream), this.maxIdleMs);
    (stream as Socket).setTimeout(limitMs);
    this.idleSince.set(stream, this.now());
    return isKept && limitMs > 0;
  }

  override reuseSocket(stream: Duplex, req: ClientRequest): void {
    (stream as Socket).setTimeout(0);
    const now = this.now();
    const idleMs = now - (this.idleSince.get(stream) ?? now);
    this.idleMsByRequest.set(req, idleMs);
    super.reuseSocket(stream, req);
  }
}
