import {connect as connectTcp} from 'node:net';
import {connect as connectTls} from 'node:tls';
import {monotonicNow, repeatEvery} from '@figfall/task';
import {Effect} from 'effect';
import type {Scope} from 'effect';
import {LINK} from '../constants.js';
import {createLink} from './create_link.js';
import type {Link} from './link.js';
import type {LinkEvent} from './link_event.js';
import type {LinkOptions} from './link_options.js';
import {reconnectDelay} from './reconnect_delay.js';

/** A peer that a node keeps a link to. */
interface PeerAddress {
  readonly id: string;
  readonly host: string;
  readonly port: number;
}

interface LinkPool {
  /** Replaces the peers that links are kept to. */
  readonly setPeers: (peers: readonly PeerAddress[]) => void;
}

interface LinkPoolOptions extends LinkOptions {
  readonly onEvent: (event: LinkEvent) => void;
  /** Random source for the spread of reconnects. */
  readonly random: () => number;
}

interface Slot {
  address: PeerAddress;
  link?: Link;
  failures: number;
  connectAt: number;
}

function sameAddress(a: PeerAddress, b: PeerAddress): boolean {
  return a.host === b.host && a.port === b.port;
}

function openSocket(address: PeerAddress, options: LinkPoolOptions) {
  const {host, port} = address;
  if (!options.tls) return connectTcp({host, port});
  return connectTls({
    ...options.tls,
    host,
    port,
    checkServerIdentity: () => undefined,
  });
}

/** Keeps one link to each peer, and connects again after a loss. */
export function createLinkPool(
  options: LinkPoolOptions,
): Effect.Effect<LinkPool, never, Scope.Scope> {
  const slots = new Map<string, Slot>();

  const onEvent = (slot: Slot, event: LinkEvent): void => {
    if (event.type === 'link-up') slot.failures = 0;
    if (event.type === 'link-down') {
      slot.link = undefined;
      slot.failures += 1;
      const delayMs = reconnectDelay(slot.failures, options.random);
      slot.connectAt = monotonicNow() + delayMs;
    }
    options.onEvent(event);
  };

  const connect = (slot: Slot): void => {
    const socket = openSocket(slot.address, options);
    slot.link = createLink(socket, options, event => onEvent(slot, event));
  };

  const tick = (): void => {
    const now = monotonicNow();
    [...slots.values()].forEach(slot => {
      if (slot.link) return slot.link.tick();
      if (slot.connectAt <= now) connect(slot);
    });
  };

  const remove = (id: string, slot: Slot): void => {
    slots.delete(id);
    slot.link?.close('the peer is no longer needed');
  };

  const setPeers = (peers: readonly PeerAddress[]): void => {
    const wanted = new Map(peers.map(peer => [peer.id, peer]));
    [...slots]
      .filter(([id]) => !wanted.has(id))
      .forEach(([id, slot]) => remove(id, slot));
    peers.forEach(address => {
      const slot = slots.get(address.id);
      if (slot && sameAddress(slot.address, address)) return;
      if (slot) remove(address.id, slot);
      slots.set(address.id, {address, failures: 0, connectAt: 0});
    });
    tick();
  };

  return Effect.gen(function* () {
    yield* repeatEvery(LINK.TICK_MS, tick);
    yield* Effect.addFinalizer(() => Effect.sync(() => setPeers([])));
    return {setPeers};
  });
}
