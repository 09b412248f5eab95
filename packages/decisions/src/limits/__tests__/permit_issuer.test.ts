import {test} from 'node:test';
import {expect} from 'earl';
import {permitIssuer} from '../permit_issuer.js';
import type {PermitIssuerState} from '../permit_issuer_state.js';

const IDLE = {waiting: 0, used: 0, returned: 0, unpermitted: 0};

/** Issues for `seconds` to gateways that wait for and use all they get. */
function issuedIn(
  seconds: number,
  leasers: readonly string[],
  limits: {readonly perSecond: number; readonly gateways: number},
): ReadonlyMap<string, number> {
  let state = permitIssuer.create(0);
  const totals = new Map<string, number>();
  for (let now = 0; now <= seconds * 1_000; now += 20) {
    const used = new Map<string, number>();
    const issued = permitIssuer.issue(state, limits, now);
    issued.counts.forEach((count, gateway) => {
      used.set(gateway, count);
      totals.set(gateway, (totals.get(gateway) ?? 0) + count);
    });
    state = leasers.reduce((next, gateway) => {
      const usage = {...IDLE, waiting: 9, used: used.get(gateway) ?? 0};
      return permitIssuer.request(next, gateway, usage, limits, now);
    }, issued.state);
  }
  return totals;
}

function sum(totals: ReadonlyMap<string, number>): number {
  return [...totals.values()].reduce((a, b) => a + b, 0);
}

test('issuers in all parts of a split view together keep to the limit', () => {
  const limits = {perSecond: 10, gateways: 5};
  const parts = [['a', 'b', 'c'], ['d'], ['e']];
  const issued = parts.map(part => sum(issuedIn(20, part, limits)));
  expect(issued).toEqual([120, 40, 40]);
});

test('gateways that wait take turns', () => {
  const totals = issuedIn(30, ['a', 'b', 'c'], {perSecond: 1, gateways: 3});
  expect([...totals.values()]).toEqual([10, 10, 10]);
});

function lease(
  state: PermitIssuerState,
  usage: Partial<typeof IDLE>,
  now: number,
  perSecond = 1,
): PermitIssuerState {
  const limits = {perSecond, gateways: 1};
  return permitIssuer.request(state, 'a', {...IDLE, ...usage}, limits, now);
}

test('permits that nobody uses are not saved up beyond a small burst', () => {
  const limits = {perSecond: 1, gateways: 1};
  let state = permitIssuer.create(0);
  for (let now = 0; now <= 60_000; now += 400) state = lease(state, {}, now);
  state = lease(state, {waiting: 50}, 60_000);
  expect(permitIssuer.issue(state, limits, 60_000).counts.get('a')).toEqual(2);
});

test('permits that were given back and handed out again do not add up', () => {
  const limits = {perSecond: 1, gateways: 1};
  let state = permitIssuer.create(0);
  let held = 0;
  for (let now = 0; now <= 60_000; now += 400) {
    state = lease(state, {returned: held, waiting: 50}, now);
    const issued = permitIssuer.issue(state, limits, now);
    state = issued.state;
    held = issued.counts.get('a') ?? 0;
  }
  expect(held).toBeLessThanOrEqual(2);
});

test('requests without a permit are made up for', () => {
  const limits = {perSecond: 1, gateways: 1};
  let state = lease(permitIssuer.create(0), {waiting: 50, unpermitted: 3}, 0);
  const counts: number[] = [];
  for (let now = 0; now <= 6_000; now += 500) {
    const issued = permitIssuer.issue(state, limits, now);
    const used = issued.counts.get('a') ?? 0;
    counts.push(used);
    state = lease(issued.state, {waiting: 50, used}, now);
  }
  expect(counts.reduce((a, b) => a + b, 0)).toEqual(3);
});

test('a share expires unless it is renewed, and a limit of 0 permits nothing', () => {
  const limits = {perSecond: 10, gateways: 1};
  const state = lease(permitIssuer.create(0), {waiting: 9}, 0, 10);
  expect(permitIssuer.issue(state, limits, 60_000).counts.size).toEqual(0);
  const zero = {perSecond: 0, gateways: 1};
  const saved = lease(state, {waiting: 9}, 1_000, 10);
  expect(permitIssuer.issue(saved, zero, 1_000).counts.size).toEqual(0);
});
