import {test} from 'node:test';
import {expect} from 'earl';
import {planSoakActions} from '../soak/plan_soak_actions.js';

const OPTIONS = {durationMs: 10_000, gateways: 4, servers: 9};

test('a seed always draws the same actions, ordered by start time', () => {
  const plan = planSoakActions({...OPTIONS, seed: 3});
  expect(planSoakActions({...OPTIONS, seed: 3})).toEqual(plan);
  expect(planSoakActions({...OPTIONS, seed: 4})).not.toEqual(plan);
  const starts = plan.map(({startMs}) => startMs);
  expect(starts).toEqual(starts.toSorted((a, b) => a - b));
});

test('50 seeds together draw all 22 types of actions', () => {
  const types = new Set(
    Array.from({length: 50}, (_, seed) => planSoakActions({...OPTIONS, seed}))
      .flat()
      .map(({type}) => type),
  );
  expect(types.size).toEqual(22);
});
