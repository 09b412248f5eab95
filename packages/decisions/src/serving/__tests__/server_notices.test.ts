import {test} from 'node:test';
import {expect} from 'earl';
import {serverNotices} from '../server_notices.js';

const NOW = 1_000;
const OLD = {id: 'a', processStartedAt: 1};
const RESTARTED = {id: 'a', processStartedAt: 2};

test('a process that leaves is closed, a later one under its id is not', () => {
  const notices = serverNotices.recordLeaving(serverNotices.empty(), OLD, NOW);
  expect(serverNotices.isOpen(notices, OLD, NOW)).toEqual(false);
  expect(serverNotices.isOpen(notices, RESTARTED, NOW)).toEqual(true);
  expect(serverNotices.isOpen(notices, {id: 'b'}, NOW)).toEqual(true);
});

test('a pause ends when its time is over; a shorter one does not cut it', () => {
  const long = serverNotices.recordPause(
    serverNotices.empty(),
    'a',
    2_000,
    NOW,
  );
  const notices = serverNotices.recordPause(long, 'a', 100, NOW);
  expect(serverNotices.isOpen(notices, OLD, NOW + 1_999)).toEqual(false);
  expect(serverNotices.isOpen(notices, OLD, NOW + 2_000)).toEqual(true);
});

test('a pause of 0 is none, and an absurd one is capped', () => {
  const none = serverNotices.recordPause(serverNotices.empty(), 'a', 0, NOW);
  expect(serverNotices.pauseLeftMs(none, 'a', NOW)).toEqual(0);
  const capped = serverNotices.recordPause(none, 'a', 1e12, NOW);
  expect(serverNotices.pauseLeftMs(capped, 'a', NOW)).toEqual(60_000);
});

test('expired pauses and servers that left long ago are forgotten', () => {
  const paused = serverNotices.recordPause(
    serverNotices.empty(),
    'a',
    500,
    NOW,
  );
  const notices = serverNotices.recordLeaving(paused, {id: 'b'}, NOW);
  const soon = serverNotices.removeExpired(notices, NOW + 500);
  expect(soon.pausedUntil.size).toEqual(0);
  expect(serverNotices.leavingServers(soon)).toEqual([
    {id: 'b', processStartedAt: undefined},
  ]);
  const later = serverNotices.removeExpired(notices, NOW + 600_000);
  expect(later.leaving.size).toEqual(0);
});
