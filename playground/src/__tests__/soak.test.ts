import {test} from 'node:test';
import {expect} from 'earl';
import {runSoak} from '../soak/run_soak.js';

/** Small enough for each build; `npm run soak` runs longer ones. */
const SIZE = {
  durationMs: 4_000,
  gateways: 3,
  models: 4,
  plains: 2,
  callers: 10,
};

/** Seeds of runs, with what each of them once found. */
const SEEDS = {
  1: 'nothing yet',
  7: 'a process that was told to reload while it started ended',
};

Object.entries(SEEDS).forEach(([seed, found]) => {
  test(`promises hold under faults, seed ${seed} (found: ${found})`, async () => {
    const {broken} = await runSoak({seed: Number(seed), ...SIZE});
    expect(broken).toEqual([]);
  });
});
