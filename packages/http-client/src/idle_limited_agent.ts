import {Agent} from 'node:http';
import type {ClientRequest, IncomingMessage} from 'node:http';
import type {Duplex} from 'node:stream';
import type {Socket} from 'node:net';
import {idleLimitMs} from './idle_limit_ms.js';

/** Keeps connections for reuse, and closes idle ones before their server does. */
export class IdleLimitedAgent extends Agent {
  /** `Keep-Alive` header of the last response on each connection. */
  private readonly hints = new WeakMap<Duplex, string | undefined>();

  /** Notes what a response says of how long its connection is kept. */
  recordResponse({socket, headers}: IncomingMessage): void {
    const hint = headers['keep-alive'];
    this.hints.set(socket, typeof hint === 'string' ? hint : undefined);
  }

  override keepSocketAlive(stream: Duplex): boolean {
    const isKept = Boolean(super.keepSocketAlive(stream));
    const limitMs = idleLimitMs(this.hints.get(stream));
    (stream as Socket).setTimeout(limitMs);
    return isKept && limitMs > 0;
  }

  override reuseSocket(stream: Duplex, req: ClientRequest): void {
    (stream as Socket).setTimeout(0);
    super.reuseSocket(stream, req);
  }
}
