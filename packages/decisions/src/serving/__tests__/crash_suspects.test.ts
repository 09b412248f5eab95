import {test} from 'node:test';
import {expect} from 'earl';
import {crashSuspects} from '../crash_suspects.js';

function disconnectedAt(...serverIds: readonly string[]) {
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

function isAllowed(suspects: ReturnType<typeof disconnectedAt>, now: number) {
  return crashSuspects.refusedForMs(suspects, 'poison', now) === 0;
}

test('a request is refused after three servers disconnected during it', () => {
  expect(isAllowed(disconnectedAt('a', 'b'), 10)).toEqual(true);
  expect(isAllowed(disconnectedAt('a', 'b', 'c'), 10)).toEqual(false);
});

test('repeated disconnects of one server count once', () => {
  expect(isAllowed(disconnectedAt('a', 'a', 'a', 'a'), 10)).toEqual(true);
});

test('disconnects of concurrent attempts count once', () => {
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
  const cleared = crashSuspects.recordAnswer(
    disconnectedAt('a', 'b', 'c'),
    'poison',
  );
  expect(isAllowed(cleared, 10)).toEqual(true);
});

test('a refused request gets one trial after the refusal period', () => {
  const suspects = disconnectedAt('a', 'b', 'c');
  expect(crashSuspects.refusedForMs(suspects, 'poison', 10)).toEqual(29_990);
  expect(isAllowed(suspects, 30_000)).toEqual(true);
  const tried = crashSuspects.recordTrial(suspects, 'poison', 30_000);
  expect(isAllowed(tried, 30_001)).toEqual(false);
});

test('other requests are not refused', () => {
  const suspects = disconnectedAt('a', 'b', 'c');
  expect(crashSuspects.refusedForMs(suspects, 'other', 10)).toEqual(0);
});

test('suspects expire, and their number is limited', () => {
  expect(
    crashSuspects.removeExpired(disconnectedAt('a'), 600_000).size,
  ).toEqual(0);
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
