import {test} from 'node:test';
import {expect} from 'earl';
import {gatewayFixture} from './gateway_fixture.js';

type Fixture = ReturnType<typeof gatewayFixture>;

const SERVERS = Array.from({length: 40}, (_, i) => `s${i}`);
const CRASHING = 'crashing';

/** Milliseconds between two rounds of requests. */
const INTERVAL_MS = 700;

/** Milliseconds after which all gateways know who lost a server. */
const SETTLE_MS = 60;

/** Requests that a server runs beside the one that crashes it. */
const NEIGHBOURS = 7;

const HEAD = {status: 200, headers: []};

/** Ids of parts; those of another prefix are other parts. */
function partsOf(prefix: string, count: number): readonly string[] {
  return Array.from({length: count}, (_, i) => `${prefix}-${i}`);
}

/** Sends a prompt; no two have the same id, body or last part. */
function send({serve}: Fixture, id: string, sharedParts: readonly string[]) {
  return serve(`/stream/${id}`, {
    requestId: id,
    body: Buffer.from(id),
    prompt: {promptTokens: 900, outputTokens: 50, sharedParts},
  }).received;
}

/** Sends prompts to one server and loses it before its first event. */
function lose(
  fixture: Fixture,
  serverId: string,
  prompts: Readonly<Record<string, readonly string[]>>,
): void {
  const {setServers, attempts, clock} = fixture;
  setServers(serverId);
  const before = attempts.length;
  Object.entries(prompts).forEach(([id, parts]) => send(fixture, id, parts));
  const lost = attempts.slice(before);
  lost.forEach(({emit}) => emit({type: 'sent'}));
  setServers();
  clock.now += 40;
  lost.forEach(({emit}) => emit({type: 'failed', reason: 'reset'}));
}

function settle({clock, fleet}: Fixture): void {
  clock.now += SETTLE_MS;
  fleet.prune();
}

/** Loses one server after the other under prompts with the crashing part. */
function crashSeries(
  fixture: Fixture,
  count: number,
  promptsOf: (i: number) => Readonly<Record<string, readonly string[]>>,
): void {
  SERVERS.slice(0, count).forEach((serverId, i) => {
    fixture.clock.now += INTERVAL_MS;
    lose(fixture, serverId, promptsOf(i));
  });
  settle(fixture);
}

/** Whether a prompt with these parts is refused as a suspect now. */
function isRefused(fixture: Fixture, parts: readonly string[]): boolean {
  fixture.setServers('last');
  const id = `probe-${fixture.attempts.length}-${parts.length}`;
  return send(fixture, id, parts).failure?.kind === 'suspect-request';
}

// Guards against evidence that other parts push out (review/13): the part that
// crashes servers comes anywhere in prompts with many parts of their own.
[4, 18, 60, 300].forEach(count => {
  [0, Math.floor((count - 1) / 2), count - 2].forEach(place => {
    test(`a crashing part at place ${place} of ${count} is blocked, beside prompts with 200 parts of their own (BUDGET)`, () => {
      const fixture = gatewayFixture(SERVERS);
      crashSeries(fixture, 3, i => ({
        ...Object.fromEntries(
          Array.from({length: NEIGHBOURS}, (_, n) => [
            `sound-${i}-${n}`,
            partsOf(`own-${i}-${n}`, 200),
          ]),
        ),
        [`bad-${i}`]: partsOf(`bad-${i}`, count - 1).toSpliced(
          place,
          1,
          CRASHING,
        ),
      }));
      expect(isRefused(fixture, [CRASHING])).toEqual(true);
      expect(isRefused(fixture, partsOf('own-0-0', 200))).toEqual(false);
    });
  });
});

// Guards against the loss of the first evidence to those that come after it.
test('a flood of new parts between two crashes does not clear the crashing one (BUDGET)', () => {
  const fixture = gatewayFixture(SERVERS);
  crashSeries(fixture, 6, i =>
    i % 2 === 0
      ? {[`bad-${i}`]: [CRASHING]}
      : {[`flood-${i}`]: partsOf(`flood-${i}`, 3_000)},
  );
  fixture.clock.now += INTERVAL_MS;
  lose(fixture, 's30', {'bad-7': [CRASHING]});
  fixture.clock.now += INTERVAL_MS;
  lose(fixture, 's31', {'bad-8': [CRASHING]});
  settle(fixture);
  expect(isRefused(fixture, [CRASHING])).toEqual(true);
});

// Guards against a blocked part that is forgotten while others come.
test('a blocked part stays blocked while parts without end come (BUDGET)', () => {
  const fixture = gatewayFixture(SERVERS);
  crashSeries(fixture, 3, i => ({[`bad-${i}`]: [CRASHING]}));
  Array.from({length: 12}, (_, i) =>
    lose(fixture, `s${i + 5}`, {
      [`flood-${i}`]: partsOf(`flood-${i}`, 3_000),
    }),
  );
  settle(fixture);
  expect(isRefused(fixture, [CRASHING])).toEqual(true);
  expect(fixture.fleet.counts().forgottenSuspects.parts).toBeGreaterThan(0);
});

// Guards against rounds that are not counted since many servers were lost in one.
test('a part that crashes 20 servers at a time is blocked (BUDGET)', () => {
  const fixture = gatewayFixture(SERVERS);
  Array.from({length: 4}, (_, round) => {
    fixture.clock.now += 5_000;
    SERVERS.slice(0, 20).forEach((serverId, i) => {
      fixture.clock.now -= 40;
      lose(fixture, `${serverId}-${round}`, {[`b-${round}-${i}`]: [CRASHING]});
    });
  });
  settle(fixture);
  expect(isRefused(fixture, [CRASHING])).toEqual(true);
});

test('sound parts that were answered are not blocked with a crashing one (LOST)', () => {
  const fixture = gatewayFixture(SERVERS);
  const shared = partsOf('shared', 299);
  send(fixture, 'sound', shared);
  const answered = fixture.attempts.at(-1);
  answered?.emit({type: 'sent'});
  answered?.emit({type: 'head', head: HEAD});
  answered?.emit({type: 'events', firstId: 0, texts: ['id: 0\n\n']});
  answered?.emit({type: 'end'});
  crashSeries(fixture, 4, i => ({
    [`sound-${i}`]: shared,
    [`bad-${i}`]: [...shared, CRASHING],
  }));
  expect(isRefused(fixture, [...shared, CRASHING])).toEqual(true);
  expect(isRefused(fixture, shared)).toEqual(false);
});
