import {test} from 'node:test';
import {expect} from 'earl';
import {suspectParts} from '../suspect_parts.js';

type Parts = ReturnType<typeof suspectParts.empty>;

/** Milliseconds between two losses, longer than each prompt was held. */
const INTERVAL_MS = 1_000;
const HELD_MS = 100;

/** Loses one server after the other, each with the given parts of prompts. */
function lose(...lost: readonly (readonly string[])[]): Parts {
  return lost.reduce(
    (known, parts, i) =>
      suspectParts.recordLoss(
        known,
        {serverId: `s${i}`, parts, heldMs: HELD_MS},
        i * INTERVAL_MS,
      ),
    suspectParts.empty(),
  );
}

const LOST_AT = 2 * INTERVAL_MS;

test('a part is blocked after three servers were lost one after the other', () => {
  expect(suspectParts.blocked(lose(['p'], ['p']))).toEqual([]);
  expect(suspectParts.blocked(lose(['p'], ['p'], ['p']))).toEqual(['p']);
});

test('servers that are lost at the same time count once', () => {
  const parts = ['a', 'b', 'c', 'd', 'e', 'f'].reduce(
    (known, serverId, i) =>
      suspectParts.recordLoss(
        known,
        {serverId, parts: ['p'], heldMs: HELD_MS},
        i,
      ),
    suspectParts.empty(),
  );
  expect(suspectParts.blocked(parts)).toEqual([]);
});

test('a part of bystanders is not blocked with the part to blame', () => {
  const parts = lose(
    ['p'],
    ['p', 'bystander'],
    ['p', 'bystander'],
    ['p', 'bystander'],
  );
  expect(suspectParts.blocked(parts)).toEqual(['p']);
});

test('parts that are always there together are blocked after five losses', () => {
  const together = ['p', 'q'];
  const four = [together, together, together, together];
  expect(suspectParts.blocked(lose(...four))).toEqual([]);
  expect(suspectParts.blocked(lose(...four, together))).toEqual(['p', 'q']);
});

test('an answer clears the parts of its prompt, also a blocked one', () => {
  const parts = lose(['p', 'q'], ['p'], ['p']);
  expect(suspectParts.blocked(suspectParts.recordAnswer(parts, ['q']))).toEqual(
    ['p'],
  );
  expect(suspectParts.blocked(suspectParts.recordAnswer(parts, ['p']))).toEqual(
    [],
  );
});

test('a blocked part gets one trial, and the next after twice the time', () => {
  const parts = lose(['p'], ['p'], ['p']);
  const forMs = (known: Parts, now: number) =>
    suspectParts.findBlocked(known, ['other', 'p'], now)?.forMs;
  expect(forMs(parts, LOST_AT)).toEqual(60_000);
  const trialAt = LOST_AT + 60_000;
  expect(forMs(parts, trialAt)).toEqual(undefined);
  expect(suspectParts.partsOnTrial(parts, ['other', 'p'])).toEqual(['p']);
  const tried = suspectParts.recordTrial(parts, 'p', trialAt);
  expect(forMs(tried, trialAt)).toEqual(120_000);
});

test('a gateway that joins refuses what others have blocked', () => {
  const age = {trials: 1, ageMs: 20_000};
  const parts = suspectParts.addBlocked(suspectParts.empty(), 'p', age, 0);
  expect(suspectParts.findBlocked(parts, ['p'], 0)).toEqual({
    part: 'p',
    forMs: 100_000,
  });
});

test('suspected parts expire, and their number is limited', () => {
  const suspected = lose(['p']);
  expect(suspectParts.removeExpired(suspected, 59_999).size).toEqual(1);
  expect(suspectParts.removeExpired(suspected, 60_000).size).toEqual(0);
  const blocked = lose(['p'], ['p'], ['p']);
  expect(suspectParts.removeExpired(blocked, 600_000).size).toEqual(1);
  const many = Array.from({length: 1_030}, (_, i) => [`p${i}`]);
  expect(lose(...many).size).toEqual(1_024);
});
