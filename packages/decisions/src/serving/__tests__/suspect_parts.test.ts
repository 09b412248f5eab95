import {test} from 'node:test';
import {expect} from 'earl';
import {crashEvidence} from '../crash_evidence.js';

type Parts = ReturnType<typeof crashEvidence.empty>;

const EMPTY = crashEvidence.empty({blockMs: 60_000, suspectTtlMs: 60_000});

/** Milliseconds between two losses, longer than each prompt was held. */
const INTERVAL_MS = 1_000;
const HELD_MS = 100;

/** What is blocked once all losses are known everywhere. */
function blockedOf(parts: Parts): readonly string[] {
  return crashEvidence.blocked(crashEvidence.judge(parts, 100_000));
}

/** Loses one server after the other, each with the given parts of prompts. */
function lose(...lost: readonly (readonly string[])[]): Parts {
  return lost.reduce(
    (known, parts, i) =>
      crashEvidence.recordLoss(
        known,
        {crashId: `s${i}`, keys: parts, heldMs: HELD_MS},
        i * INTERVAL_MS,
      ),
    EMPTY,
  );
}

const LOST_AT = 2 * INTERVAL_MS;

test('a part is blocked after three servers were lost one after the other', () => {
  expect(blockedOf(lose(['p'], ['p']))).toEqual([]);
  expect(blockedOf(lose(['p'], ['p'], ['p']))).toEqual(['p']);
});

test('servers that are lost at the same time count once', () => {
  const parts = ['a', 'b', 'c', 'd', 'e', 'f'].reduce(
    (known, serverId, i) =>
      crashEvidence.recordLoss(
        known,
        {crashId: serverId, keys: ['p'], heldMs: HELD_MS},
        i,
      ),
    EMPTY,
  );
  expect(blockedOf(parts)).toEqual([]);
});

test('a part of bystanders is not blocked with the part to blame', () => {
  const parts = lose(
    ['p'],
    ['p', 'bystander'],
    ['p', 'bystander'],
    ['p', 'bystander'],
  );
  expect(blockedOf(parts)).toEqual(['p']);
});

test('parts that are always there together are blocked after five losses', () => {
  const together = ['p', 'q'];
  const four = [together, together, together, together];
  expect(blockedOf(lose(...four))).toEqual([]);
  expect(blockedOf(lose(...four, together))).toEqual(['p', 'q']);
});

test('a part that servers had begun to answer is not blocked with one that they had not (LOST)', () => {
  const parts = [0, 1, 2, 3, 4].reduce(
    (known, i) =>
      [
        {keys: ['p', 'first'], hadEvents: false},
        {keys: ['first'], hadEvents: i > 2},
      ].reduce(
        (state, loss) =>
          crashEvidence.recordLoss(
            state,
            {crashId: `s${i}`, heldMs: HELD_MS, ...loss},
            i * INTERVAL_MS,
          ),
        known,
      ),
    EMPTY,
  );
  expect(blockedOf(parts)).toEqual(['p']);
});

test('an answer clears the parts of its prompt, also a blocked one', () => {
  const lost = lose(['p', 'q'], ['p'], ['p']);
  const parts = crashEvidence.judge(lost, LOST_AT + 50);
  expect(blockedOf(crashEvidence.recordAnswer(parts, ['q']))).toEqual(['p']);
  expect(blockedOf(crashEvidence.recordAnswer(parts, ['p']))).toEqual([]);
});

test('a blocked part gets one trial, and the next after twice the time', () => {
  const parts = crashEvidence.judge(lose(['p'], ['p'], ['p']), LOST_AT + 50);
  const forMs = (known: Parts, now: number) =>
    crashEvidence.refusedForMs(known, 'p', now);
  expect(forMs(parts, LOST_AT)).toEqual(60_000);
  const trialAt = LOST_AT + 60_000;
  expect(forMs(parts, trialAt)).toEqual(0);
  expect(crashEvidence.isBlocked(parts, 'p')).toEqual(true);
  expect(crashEvidence.isBlocked(parts, 'other')).toEqual(false);
  const tried = crashEvidence.recordTrial(parts, 'p', trialAt);
  expect(forMs(tried, trialAt)).toEqual(120_000);
});

test('a part whose guilt is in doubt gets early trials by prompts without its rival (LOST)', () => {
  const state = crashEvidence.judge(
    [['first'], ['first', 'p'], ['first', 'p']].reduce(
      (known, keys, i) =>
        crashEvidence.recordLoss(
          known,
          {crashId: `s${i}`, keys, heldMs: HELD_MS},
          i * INTERVAL_MS,
        ),
      crashEvidence.empty({...EMPTY.limits, doubtfulTrialsMs: [1_000]}),
    ),
    LOST_AT + 50,
  );
  expect(crashEvidence.blocked(state)).toEqual(['first']);
  const forMs = (known: Parts, keys: readonly string[]) =>
    crashEvidence.refusedForMs(known, 'first', LOST_AT, keys);
  expect(forMs(state, ['first', 'subject'])).toEqual(1_000);
  expect(forMs(state, ['first', 'p'])).toEqual(60_000);
  const tried = crashEvidence.recordTrial(state, 'first', LOST_AT);
  expect(forMs(tried, ['first', 'subject'])).toEqual(120_000);
});

test('a part without a rival gets no early trial', () => {
  const limits = {...EMPTY.limits, doubtfulTrialsMs: [1_000]};
  const lost = {...lose(['p', 'subject'], ['p'], ['p']), limits};
  const state = crashEvidence.judge(lost, LOST_AT + 50);
  expect(crashEvidence.refusedForMs(state, 'p', LOST_AT, ['p'])).toEqual(
    60_000,
  );
});

test('a gateway that joins refuses what others have blocked', () => {
  const age = {trials: 1, ageMs: 20_000};
  const parts = crashEvidence.addBlocked(EMPTY, 'p', age, 0);
  expect(crashEvidence.refusedForMs(parts, 'p', 0)).toEqual(100_000);
});

test('suspected parts expire, and their number is limited', () => {
  const suspected = lose(['p']);
  expect(crashEvidence.removeExpired(suspected, 59_999).suspects.size).toEqual(
    1,
  );
  expect(crashEvidence.removeExpired(suspected, 60_000).suspects.size).toEqual(
    0,
  );
  const blocked = crashEvidence.judge(lose(['p'], ['p'], ['p']), LOST_AT + 50);
  expect(crashEvidence.removeExpired(blocked, 600_000).suspects.size).toEqual(
    1,
  );
  const own = (prefix: string) =>
    Array.from({length: 16_000}, (_, i) => `${prefix}${i}`);
  const many = lose(['p'], ['p', ...own('a')], own('b'), ['p']);
  expect(many.suspects.size <= 16_384).toEqual(true);
  expect(many.suspects.size + many.forgotten).toEqual(32_001);
  expect(many.suspects.get('p')?.losses.length).toEqual(3);
});

// Guards against a sound part that stands out since its rivals were forgotten.
test('parts that were always lost together are forgotten together', () => {
  const alike = Array.from({length: 9_000}, (_, i) => `a${i}`);
  const others = Array.from({length: 9_000}, (_, i) => `b${i}`);
  const {suspects} = lose(alike, others);
  const left = alike.filter(part => suspects.has(part));
  expect([0, alike.length]).toInclude(left.length);
  expect(others.every(part => suspects.has(part))).toEqual(true);
});
