import {test} from 'node:test';
import {expect} from 'earl';
import {permitHolder} from '../permit_holder.js';

const GRANT = {count: 2, othersWaiting: 3, perSecond: 1};

function granted() {
  const asked = permitHolder.report(
    permitHolder.want(permitHolder.create(), 2, 0),
    'x',
    0,
  );
  expect(asked.report?.waiting).toEqual(2);
  return permitHolder.receive(asked.state, 'x', GRANT, 10);
}

test('a permit is used once, and reported', () => {
  const used = permitHolder.take(granted(), 20);
  expect(permitHolder.usable(used, 20)).toEqual(1);
  const {report} = permitHolder.report(used, 'x', 20);
  expect(report).toEqual({waiting: 0, used: 1, returned: 0, unpermitted: 0});
});

test('permits that nobody wants any more are given back', () => {
  const {state, report} = permitHolder.report(granted(), 'x', 600);
  expect(report?.returned).toEqual(2);
  expect(permitHolder.usable(state, 600)).toEqual(0);
});

test('a permit expires, also while it is wanted', () => {
  const wanted = permitHolder.want(granted(), 2, 1_000);
  expect(permitHolder.usable(wanted, 1_011)).toEqual(0);
  const {report} = permitHolder.report(wanted, 'x', 1_011);
  expect(report).toEqual({waiting: 2, used: 0, returned: 2, unpermitted: 0});
});

test('a request without a permit is reported', () => {
  const taken = permitHolder.take(permitHolder.create(), 5);
  expect(permitHolder.report(taken, 'x', 5).report?.unpermitted).toEqual(1);
});

test('a permit whose request was not sent is given back', () => {
  const taken = permitHolder.giveBack(permitHolder.take(granted(), 20));
  const {report} = permitHolder.report(taken, 'x', 20);
  expect(report?.used).toEqual(0);
  expect(report?.returned).toEqual(1);
});

test('a share is leased to another issuer only once the former lost it', () => {
  const wanted = permitHolder.want(granted(), 4, 100);
  const early = permitHolder.report(wanted, 'y', 100);
  expect(early.report).toEqual(undefined);
  expect(early.state.issuer).toEqual('x');
  const late = permitHolder.report(early.state, 'y', 2_000);
  expect(late.state.issuer).toEqual('y');
  expect(late.report?.waiting).toEqual(0);
});

test('permits of a former issuer are ignored', () => {
  const other = permitHolder.receive(granted(), 'y', GRANT, 20);
  expect(permitHolder.usable(other, 20)).toEqual(2);
});

test('an idle gateway renews its share', () => {
  const {state} = permitHolder.report(permitHolder.create(), 'x', 0);
  expect(permitHolder.report(state, 'x', 399).report).toEqual(undefined);
  expect(permitHolder.report(state, 'x', 400).report?.waiting).toEqual(0);
});
