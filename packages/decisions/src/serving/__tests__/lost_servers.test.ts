import {test} from 'node:test';
import {expect} from 'earl';
import {lostServers} from '../lost_servers.js';

interface Loss {
  readonly at: number;
  readonly heldMs?: number;
  readonly born?: number;
  /** Time at which a request was sent that the server answered. */
  readonly answeredAt?: number;
}

/** Ids of the crashes that losses of one server belong to. */
function crashesOf(...losses: readonly Loss[]): readonly string[] {
  let lost = lostServers.empty();
  return losses.map(({at, heldMs = 0, born: processStartedAt, answeredAt}) => {
    if (answeredAt !== undefined) {
      lost = lostServers.recordResponse(lost, 'a', answeredAt);
    }
    const loss = {serverId: 'a', processStartedAt, heldMs};
    const identified = lostServers.identify(lost, loss, at);
    lost = identified.lost;
    return identified.crashId;
  });
}

test('a server that restarts under its id crashes anew (BUDGET)', () => {
  const crashes = crashesOf({at: 0, born: 1}, {at: 4_000, born: 2});
  expect(new Set(crashes).size).toEqual(2);
});

test('a server that names no start of its process crashes anew, too', () => {
  const crashes = crashesOf({at: 0}, {at: 4_000, answeredAt: 3_500});
  expect(new Set(crashes).size).toEqual(2);
});

test('a restart that the reporting gateway does not know of yet counts', () => {
  const again = {at: 4_000, born: 1, answeredAt: 3_500};
  const crashes = crashesOf({at: 0, born: 1}, again);
  expect(new Set(crashes).size).toEqual(2);
});

test('requests that a server lost together are one crash, however late noticed', () => {
  const crashes = crashesOf(
    {at: 1_000, heldMs: 500, born: 2},
    {at: 1_020, heldMs: 10, born: 2},
    {at: 1_900, heldMs: 3, born: 2},
    {at: 9_000, heldMs: 8_500, born: 2},
  );
  expect(new Set(crashes).size).toEqual(1);
});

test('gateways of which one knows an older start see one crash', () => {
  const crashes = crashesOf(
    {at: 1_000, heldMs: 50, born: 2},
    {at: 1_010, heldMs: 70, born: 1},
  );
  expect(new Set(crashes).size).toEqual(1);
});

test('a server that stays down is lost once, whatever is sent there (LOST)', () => {
  const crashes = crashesOf(
    {at: 1_000, born: 1},
    {at: 3_000, born: 1},
    {at: 9_000, born: 1, answeredAt: 900},
  );
  expect(new Set(crashes).size).toEqual(1);
});
