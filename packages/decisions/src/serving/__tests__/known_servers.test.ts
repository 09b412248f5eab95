import {test} from 'node:test';
import {expect} from 'earl';
import {knownServers} from '../known_servers.js';
import {planFixture} from './plan_fixture.js';

const [a, b] = planFixture.fleet(2).map(({server}, i) => ({
  ...server,
  port: i,
}));
if (!a || !b) throw new Error('no servers');

function ids(roster: ReturnType<typeof knownServers.empty>) {
  return knownServers.all(roster).map(({id}) => id);
}

test('a server that is unlisted in a calm store is gone at once', () => {
  const full = knownServers.applyListing(
    knownServers.empty(),
    {servers: [a, b], restoredAt: 0},
    0,
  );
  const next = knownServers.applyListing(
    full,
    {servers: [a], restoredAt: 0},
    9_000,
  );
  expect(ids(next)).toEqual(['i-0']);
});

test('entries that lapsed while the store was away count for a time', () => {
  const full = knownServers.applyListing(
    knownServers.empty(),
    {servers: [a, b], restoredAt: 0},
    0,
  );
  const back = {servers: [a], restoredAt: 9_000};
  const next = knownServers.applyListing(full, back, 9_010);
  expect(ids(next)).toEqual(['i-0', 'i-1']);
  expect(ids(knownServers.removeExpired(next, 10_500))).toEqual(['i-0', 'i-1']);
  expect(ids(knownServers.removeExpired(next, 11_200))).toEqual(['i-0']);
});

test('a lapsed server whose address another one has is gone', () => {
  const full = knownServers.applyListing(
    knownServers.empty(),
    {servers: [a, b], restoredAt: 0},
    0,
  );
  const heir = {...a, id: 'i-9', port: b.port};
  const next = knownServers.applyListing(
    full,
    {servers: [a, heir], restoredAt: 9_000},
    9_010,
  );
  expect(ids(next)).toEqual(['i-0', 'i-9']);
});
