import type {ServingConfig} from '@figfall/decisions';
import {gatewayFixture} from './gateway_fixture.js';
import {plainServer} from './plain_server.js';

/** Milliseconds for which a request takes a slot. */
const RUN_MS = 400;

/** Milliseconds until a change reaches the other gateways. */
const CHANGE_MS = 5;

const STEP_MS = 5;
const TICK_MS = 20;
const SLOTS = 8;
const PATIENCE_MS = 2_000;

const ROUTE = {
  host: 'a.test',
  pathPrefix: '/read/',
  kind: 'idempotent' as const,
  resumable: false,
  trafficSplit: [{service: 'plain', weight: 1}],
  maxAttempts: 2,
  timeoutMs: PATIENCE_MS,
  latencyTargetMs: 500,
  pauseMs: 250,
  priority: 1,
  isPublic: false,
};

interface ContendedRequest {
  readonly id: string;
  readonly at: number;
  readonly workspace: string;
  /** Milliseconds after a rejection at which it returns, unless as told. */
  readonly retryAfterMs?: number;
}

interface ContendedOutcome extends ContendedRequest {
  readonly isRetry: boolean;
  readonly isServed: boolean;
  readonly waitedMs: number;
  readonly retryAfterTold?: number;
}

interface ContendedOptions {
  readonly gateways: number;
  readonly servers: number;
  /** Index of a gateway that is cut off from the others. */
  readonly isolated?: number;
  /** Workspaces whose requests are most urgent. */
  readonly urgent?: readonly string[];
}

type Fixture = ReturnType<typeof gatewayFixture>;

/** Reproducible draws; a linear congruential generator. */
function createDraws(seed: number): () => number {
  let state = seed + 1;
  return () => {
    state = (state * 48_271) % 2_147_483_647;
    return state / 2_147_483_647;
  };
}

function configOf(
  load: readonly ContendedRequest[],
  urgent: readonly string[],
): ServingConfig {
  return {
    version: 2,
    routes: [{...ROUTE, name: 'read'}],
    services: new Map([['plain', {name: 'plain', coldRequestsPerSecond: 0}]]),
    workspaceByKey: new Map(load.map(req => [req.workspace, req.workspace])),
    priorityByWorkspace: new Map(urgent.map(workspace => [workspace, 0])),
    limits: {maxBodyBytes: 1_000, headerTimeoutMs: 1_000, idleTimeoutMs: 1_000},
  };
}

/** Servers that run a request in each slot and queue half as many. */
function backendServers(fixtures: readonly Fixture[]) {
  const queues = new Map<string, {endAt: number; end: () => void}[]>();
  const seen = new Map<Fixture, number>();
  const counts = {rejected: 0};
  const accept = (sent: Fixture['attempts'][0], now: number): void => {
    const {id} = sent.req.server;
    const queue = queues.get(id) ?? [];
    queues.set(id, queue);
    if (queue.length >= SLOTS * 1.5) {
      counts.rejected += 1;
      const failure = {kind: 'queue-full', message: '', ran: 'no'} as const;
      return sent.emit({type: 'refused', failure, unreachable: false});
    }
    sent.emit({type: 'sent'});
    const startAt = queue.at(-SLOTS)?.endAt ?? now;
    const head = {status: 200, headers: []};
    const body = Buffer.from('x');
    queue.push({
      endAt: startAt + RUN_MS,
      end: () => sent.emit({type: 'response', head, body}),
    });
  };
  const step = (now: number): void => {
    queues.forEach(queue => {
      while ((queue[0]?.endAt ?? Infinity) <= now) queue.shift()?.end();
    });
    fixtures.forEach(fixture => {
      for (
        let i = seen.get(fixture) ?? 0;
        i < fixture.attempts.length;
        i += 1
      ) {
        const sent = fixture.attempts[i];
        if (sent) accept(sent, now);
      }
      seen.set(fixture, fixture.attempts.length);
    });
  };
  return {step, counts};
}

/**
 * Runs a load in virtual time against gateways and servers that are shared by
 * one service. Each rejected request returns once.
 */
export function runContended(
  load: readonly ContendedRequest[],
  {gateways, servers, isolated, urgent = []}: ContendedOptions,
) {
  const fixtures = Array.from({length: gateways}, (_, i) =>
    gatewayFixture([], {random: createDraws(i)}),
  );
  const config = configOf(load, urgent);
  fixtures.forEach(({core}) => {
    core.applyConfig(config);
    const ids = Array.from({length: servers}, (_, i) => `s${i}`);
    core.setServers(ids.map(plainServer));
  });
  const backends = backendServers(fixtures);
  const changes: {at: number; from: number; apply: () => void}[] = [];
  const told = fixtures.map(() => 0);
  const announce = (now: number): void =>
    fixtures.forEach(({announced}, from) => {
      const news = announced.slice(told[from]);
      told[from] = announced.length;
      const others = fixtures.filter(
        (_, i) => i !== from && ![i, from].includes(isolated ?? -1),
      );
      const apply = () =>
        news.forEach(change =>
          others.forEach(({fleet}) =>
            fleet.applyRemoteChange(change, `g${from}`),
          ),
        );
      changes.push({at: now + CHANGE_MS, from, apply});
    });
  const due = load.map(req => ({req, at: req.at, isRetry: false}));
  const outcomes: ContendedOutcome[] = [];
  type Open = (typeof due)[0] & {received: ReturnType<Fixture['serve']>};
  let open: Open[] = [];
  let sent = 0;
  const settle = (
    {req, at, isRetry, received: {received}}: Open,
    now: number,
  ) => {
    const {failure, ended} = received;
    if (!failure && !ended) return true;
    const retryAfterTold = failure?.retryAfterMs;
    const outcome = {isRetry, isServed: ended, waitedMs: now - at};
    outcomes.push({...req, ...outcome, retryAfterTold});
    const delayMs = req.retryAfterMs ?? retryAfterTold ?? 0;
    if (failure && !isRetry) due.push({req, at: now + delayMs, isRetry: true});
    return false;
  };
  const endAt = Math.max(...load.map(({at}) => at)) + 4 * PATIENCE_MS;
  for (let now = 0; now < endAt; now += STEP_MS) {
    fixtures.forEach(({clock}) => (clock.now = now + 1_000));
    changes
      .splice(0, changes.findLastIndex(({at}) => at <= now) + 1)
      .forEach(({apply}) => apply());
    const ready = due.filter(({at}) => at <= now);
    ready.forEach(entry => {
      due.splice(due.indexOf(entry), 1);
      const {req, isRetry} = entry;
      const requestId = `${req.id}${isRetry ? '-again' : ''}`;
      const options = {requestId, apiKey: req.workspace};
      const fixture = fixtures[(sent += 1) % gateways];
      const received = fixture?.serve(`/read/${req.id}`, options);
      if (received) open.push({...entry, at: now, received});
    });
    if (now % TICK_MS === 0) fixtures.forEach(({core}) => core.tick());
    backends.step(now);
    announce(now);
    open = open.filter(entry => settle(entry, now));
  }
  return {outcomes, unanswered: open.length, ...backends.counts};
}
