import {test} from 'node:test';
import {expect} from 'earl';
import {planPrompt} from '../plan_prompt.js';
import {planFixture} from './plan_fixture.js';

const {candidate, fleet, query, STREAMS} = planFixture;
const LONG = {latencyTargetMs: 3_000, pauseMs: 1_000};

function placed(plan: ReturnType<typeof planPrompt>) {
  if (plan?.type !== 'start') throw new Error(`not started: ${plan?.type}`);
  const {serverId, helpers: parts} = plan.placement;
  return [serverId, ...parts.map(part => part.serverId)];
}

test('a short prompt joins streams and leaves idle servers alone', () => {
  const servers = [...fleet(4), candidate('shared', STREAMS)];
  expect(placed(planPrompt(servers, query(5_000)))).toEqual(['shared']);
});

test('a short prompt avoids a server that reads a long one', () => {
  const busy = candidate('busy', {...STREAMS, backlogMs: 900});
  expect(placed(planPrompt([busy, candidate('idle')], query(5_000)))).toEqual([
    'idle',
  ]);
});

test('a short prompt avoids a server whose places are taken', () => {
  const full = candidate('full', {...STREAMS, running: 11, decoding: 11});
  const servers = [full, candidate('idle')];
  expect(placed(planPrompt(servers, query(5_000)))).toEqual(['idle']);
});

test('parts that streams do not notice go to many servers at once', () => {
  const servers = fleet(16, STREAMS);
  const plan = planPrompt(servers, query(45_000, {latencyTargetMs: 1_500}));
  expect(placed(plan).length).toBeGreaterThanOrEqual(4);
});

test('a long prompt leaves the servers of short streams alone', () => {
  const shared = [0, 1, 2].map(i => candidate(`shared-${i}`, STREAMS));
  const servers = [...shared, ...fleet(9)];
  const used = placed(planPrompt(servers, query(200_000, LONG)));
  expect(used.filter(id => id.startsWith('shared'))).toEqual([]);
});

test('a long prompt waits while all servers for it are busy', () => {
  const servers = [
    ...fleet(2, STREAMS),
    ...fleet(10, {backlogMs: 700}).map(({load}, i) =>
      candidate(`busy-${i}`, load),
    ),
  ];
  const plan = planPrompt(servers, query(200_000, LONG));
  expect(plan?.type).toEqual('wait');
});

test('of two long prompts that wait, the shorter one starts first', () => {
  const servers = fleet(12);
  const long = query(250_000, LONG);
  const isStarted = (bestOtherRank: number) =>
    planPrompt(servers, {...long, lowestOtherRank: bestOtherRank})?.type ===
    'start';
  expect(isStarted(1_000)).toEqual(false);
  expect(isStarted(100_000)).toEqual(true);
});

test('a long prompt that is late waits for those that can be on time', () => {
  const late = query(250_000, {...LONG, waitedMs: 3_500});
  const plan = planPrompt(fleet(12), {...late, lowestOtherRank: 5_000});
  expect(plan?.type).toEqual('wait');
});

test('a late prompt whose caller would leave soon goes first', () => {
  const late = query(250_000, {...LONG, waitedMs: 6_000});
  const plan = planPrompt(fleet(12), {...late, lowestOtherRank: 5_000});
  expect(plan?.type).toEqual('start');
});

test('a prompt that can not be read before its caller leaves is refused', () => {
  const late = query(700_000, {...LONG, waitedMs: 10_000});
  const plan = planPrompt(fleet(12), late);
  expect(plan?.type).toEqual('refuse');
});

test('a prompt over the memory of one server reserves the rest elsewhere', () => {
  const plan = planPrompt(fleet(16), query(500_000, LONG));
  if (plan?.type !== 'start') throw new Error('not started');
  const reserved = plan.placement.helpers.reduce(
    (sum, part) => sum + part.reserveTokens,
    0,
  );
  expect(reserved).toBeGreaterThanOrEqual(501_000 - 315_000);
});

test('nothing is placed without servers', () => {
  expect(planPrompt([], query(5_000))).toEqual(undefined);
});

test('a long prompt waits, and is not refused, while short ones fill all servers', () => {
  const plan = planPrompt(
    fleet(16, {...STREAMS, shortPromptStreams: 8, running: 8, backlogMs: 90}),
    query(250_000, LONG),
  );
  expect(plan?.type).toEqual('wait');
});

test('a long part does not go where another prompt is still being read', () => {
  const reading = {prefilling: 1, backlogMs: 70};
  const servers = [
    ...fleet(2, STREAMS),
    ...[0, 1, 2, 3, 4, 5].map(i => candidate(`reading-${i}`, reading)),
    ...fleet(4),
  ];
  const used = placed(planPrompt(servers, query(200_000, LONG)));
  expect(used.filter(id => id.startsWith('reading'))).toEqual([]);
});
