import {test} from 'node:test';
import {expectLimitKept} from './expect_limit_kept.js';

const DEMANDS = [3, 31].flatMap(gateways =>
  [
    {gateways, perSecond: 0.3, durationMs: 40_000},
    {gateways, perSecond: 1, durationMs: 24_000},
    {gateways, perSecond: 1.1, durationMs: 24_000},
    {gateways, perSecond: 10, durationMs: 12_000},
  ].flatMap(demand => [
    {...demand, isFromOne: false},
    {...demand, isFromOne: true},
  ]),
);

[
  ...DEMANDS,
  {gateways: 3, perSecond: 100, durationMs: 7_000, isFromOne: false},
].forEach(demand => {
  const {gateways, perSecond, isFromOne} = demand;
  const source = isFromOne ? 'one' : 'all';
  test(`a limit of ${perSecond} a second is kept and used at ${gateways} gateways, demand from ${source}`, () =>
    expectLimitKept(demand));
});
