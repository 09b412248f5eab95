import {test} from 'node:test';
import {expect} from 'earl';
import {crashSuspects} from '../crash_suspects.js';

function brokenAt(...serverIds: readonly string[]) {
  return serverIds.reduce(
    (suspects, serverId) =>
      crashSuspects.recordDisconnect(
        suspects,
        'poison',
        {serverId, heldMs: 0},
        0,
      ),
    crashSuspects.empty(),
  );
}

function isAllowed(suspects: ReturnType<typeof brokenAt>, now: number) {
  return crashSuspects.refusedForMs(suspects, 'poison', now) === 0;
}

test('a request is refused after three servers broke off with it', () => {
  expect(isAllowed(brokenAt('a', 'b'), 10)).toEqual(true);
  expect(isAllowed(brokenAt('a', 'b', 'c'), 10)).toEqual(false);
});

test('breaks at one server count once', () => {
  expect(isAllowed(brokenAt('a', 'a', 'a', 'a'), 10)).toEqual(true);
});

test('breaks of attempts that ran side by side count as one', () => {
  const suspects = ['a', 'b', 'c'].reduce(
    (known, serverId, i) =>
      crashSuspects.recordDisconnect(
        known,
        'poison',
        {serverId, heldMs: 100},
        500 + i,
      ),
    crashSuspects.empty(),
  );
  expect(isAllowed(suspects, 510)).toEqual(true);
});

test('an answer clears a request', () => {
  const cleared = crashSuspects.recordAnswer(brokenAt('a', 'b', 'c'), 'poison');
  expect(isAllowed(cleared, 10)).toEqual(true);
});

test('a refused request is tried once more after a while', () => {
  const suspects = brokenAt('a', 'b', 'c');
  expect(crashSuspects.refusedForMs(suspects, 'poison', 10)).toEqual(29_990);
  expect(isAllowed(suspects, 30_000)).toEqual(true);
  const tried = crashSuspects.recordTrial(suspects, 'poison', 30_000);
  expect(isAllowed(tried, 30_001)).toEqual(false);
});

test('other requests are not concerned', () => {
  const suspects = brokenAt('a', 'b', 'c');
  expect(crashSuspects.refusedForMs(suspects, 'other', 10)).toEqual(0);
});

test('suspects are forgotten after a long time, and bounded in number', () => {
  expect(crashSuspects.removeExpired(brokenAt('a'), 600_000).size).toEqual(0);
  const many = Array.from({length: 1_030}, (_, i) => `r${i}`).reduce(
    (suspects, key) =>
      crashSuspects.recordDisconnect(
        suspects,
        key,
        {serverId: 'a', heldMs: 0},
        0,
      ),
    crashSuspects.empty(),
  );
  expect(many.size).toEqual(1_024);
  expect(many.has('r0')).toEqual(false);
});
