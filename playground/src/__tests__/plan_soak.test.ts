import {test} from 'node:test';
import {expect} from 'earl';
import {planSoak} from '../soak/plan_soak.js';

const OPTIONS = {durationMs: 10_000, gateways: 4, servers: 9};

test('a seed always draws the same actions, in order of time', () => {
  const plan = planSoak({...OPTIONS, seed: 3});
  expect(planSoak({...OPTIONS, seed: 3})).toEqual(plan);
  expect(planSoak({...OPTIONS, seed: 4})).not.toEqual(plan);
  const times = plan.map(({at}) => at);
  expect(times).toEqual(times.toSorted((a, b) => a - b));
});

test('fifty seeds draw every kind of action', () => {
  const kinds = new Set(
    Array.from({length: 50}, (_, seed) => planSoak({...OPTIONS, seed}))
      .flat()
      .map(({type}) => type),
  );
  expect(kinds.size).toEqual(18);
});
