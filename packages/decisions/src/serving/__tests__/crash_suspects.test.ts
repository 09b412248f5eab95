import {test} from 'node:test';
import {expect} from 'earl';
import {crashEvidence} from '../crash_evidence.js';

type State = ReturnType<typeof crashEvidence.empty>;

const EMPTY = crashEvidence.empty({blockMs: 30_000, suspectTtlMs: 600_000});

const KEYS = ['poison'];

function disconnectedAt(...serverIds: readonly string[]): State {
  return serverIds.reduce(
    (state, serverId) =>
      crashEvidence.recordLoss(
        state,
        {crashId: serverId, keys: KEYS, heldMs: 0},
        0,
      ),
    EMPTY,
  );
}

/** Time in milliseconds by which all losses are known everywhere. */
const SETTLED_AT = 60;

function isAllowed(state: State, now: number): boolean {
  const judged = crashEvidence.judge(state, now);
  return crashEvidence.refusedForMs(judged, 'poison', now) === 0;
}

/** What is blocked once all losses are known everywhere. */
function blockedOf(state: State): readonly string[] {
  return crashEvidence.blocked(crashEvidence.judge(state, 100_000));
}

test('a request is refused after three servers disconnected during it', () => {
  expect(isAllowed(disconnectedAt('a', 'b'), SETTLED_AT)).toEqual(true);
  expect(isAllowed(disconnectedAt('a', 'b', 'c'), SETTLED_AT)).toEqual(false);
});

test('repeated disconnects of one server count once', () => {
  const state = disconnectedAt('a', 'a', 'a', 'a');
  expect(isAllowed(state, SETTLED_AT)).toEqual(true);
});

test('disconnects of concurrent attempts count once', () => {
  const state = ['a', 'b', 'c'].reduce(
    (known, serverId, i) =>
      crashEvidence.recordLoss(
        known,
        {crashId: serverId, keys: KEYS, heldMs: 100},
        500 + i,
      ),
    EMPTY,
  );
  expect(isAllowed(state, 502 + SETTLED_AT)).toEqual(true);
});

test('an answer clears a request', () => {
  const cleared = crashEvidence.recordAnswer(
    disconnectedAt('a', 'b', 'c'),
    KEYS,
  );
  expect(isAllowed(cleared, SETTLED_AT)).toEqual(true);
});

test('a refused request gets one trial after the refusal period', () => {
  const lost = disconnectedAt('a', 'b', 'c');
  const state = crashEvidence.judge(lost, SETTLED_AT);
  expect(crashEvidence.refusedForMs(state, 'poison', SETTLED_AT)).toEqual(
    30_000 - SETTLED_AT,
  );
  expect(isAllowed(state, 30_000)).toEqual(true);
  const tried = crashEvidence.recordTrial(state, 'poison', 30_000);
  expect(isAllowed(tried, 30_001)).toEqual(false);
});

test('other requests are not refused', () => {
  const state = crashEvidence.judge(disconnectedAt('a', 'b', 'c'), SETTLED_AT);
  expect(crashEvidence.refusedForMs(state, 'other', SETTLED_AT)).toEqual(0);
});

test('suspects expire, and their number is limited', () => {
  expect(
    crashEvidence.removeExpired(disconnectedAt('a'), 600_000).suspects.size,
  ).toEqual(0);
  const others = Array.from({length: 16_390}, (_, i) => `r${i}`);
  const many = [['first'], others].reduce(
    (state, keys, i) =>
      crashEvidence.recordLoss(state, {crashId: 'a', keys, heldMs: 0}, i),
    EMPTY,
  );
  expect(many.suspects.size <= 16_384).toEqual(true);
  expect(many.suspects.size + many.forgotten).toEqual(16_391);
  expect(many.suspects.has('first')).toEqual(false);
});

/** Losses of servers, each with the requests that ran there, a second apart. */
function lose(...lost: readonly (readonly string[])[]): State {
  return lost.reduce(
    (known, keys, i) =>
      keys.reduce(
        (state, key) =>
          crashEvidence.recordLoss(
            state,
            {crashId: `s${i}`, keys: [key], heldMs: 100},
            i * 1_000,
          ),
        known,
      ),
    EMPTY,
  );
}

test('a neighbour that lost three servers beside the culprit is not refused', () => {
  const beside = ['poison', 'neighbour'];
  const three = lose(beside, beside, beside);
  expect(blockedOf(three)).toEqual([]);
  const answered = crashEvidence.recordAnswer(three, ['neighbour']);
  expect(blockedOf(answered)).toEqual(['poison']);
  const four = lose(beside, beside, beside, ['poison']);
  expect(blockedOf(four)).toEqual(['poison']);
});

test('a request on three of the servers that crash without a culprit is not refused', () => {
  const state = lose(['long'], ['long', 'x'], ['y'], ['long'], ['z']);
  expect(blockedOf(state)).toEqual([]);
});

test('two culprits at once are refused after five losses each, or sooner', () => {
  const a = ['poison-a'];
  const b = ['poison-b'];
  expect(blockedOf(lose(a, b, a, b, a, b))).toEqual([]);
  expect(blockedOf(lose(a, b, a, b, a, b, a, b, a)).toSorted()).toEqual([
    'poison-a',
    'poison-b',
  ]);
});

test('losses of requests that overlap for seconds count if they are apart', () => {
  const state = ['a', 'b', 'c'].reduce(
    (known, serverId, i) =>
      crashEvidence.recordLoss(
        known,
        {crashId: serverId, keys: KEYS, heldMs: 3_000},
        3_000 + i * 1_000,
      ),
    EMPTY,
  );
  expect(isAllowed(state, 5_000 + SETTLED_AT)).toEqual(false);
});
