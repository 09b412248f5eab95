import {test} from 'node:test';
import {expectLimitKept} from './expect_limit_kept.js';

[
  {perSecond: 0.3, durationMs: 30_000, isFromOne: false},
  {perSecond: 1, durationMs: 20_000, isFromOne: false},
  {perSecond: 1, durationMs: 20_000, isFromOne: true},
  {perSecond: 1.1, durationMs: 20_000, isFromOne: false},
  {perSecond: 10, durationMs: 12_000, isFromOne: false},
  {perSecond: 10, durationMs: 12_000, isFromOne: true},
  {perSecond: 100, durationMs: 7_000, isFromOne: false},
].forEach(demand => {
  const {perSecond, isFromOne} = demand;
  const source = isFromOne ? 'one' : 'all';
  test(`a limit of ${perSecond} a second is kept and used at 68 gateways, demand from ${source}`, () =>
    expectLimitKept({gateways: 68, ...demand}));
});
