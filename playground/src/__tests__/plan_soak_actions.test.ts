import {createHash} from 'node:crypto';
import {test} from 'node:test';
import {expect} from 'earl';
import {planSoakActions} from '../soak/plan_soak_actions.js';
import type {SoakAction} from '../soak/soak_action.js';

const OPTIONS = {durationMs: 10_000, gateways: 4, servers: 9};

test('a seed always draws the same actions, ordered by start time', () => {
  const plan = planSoakActions({...OPTIONS, seed: 3});
  expect(planSoakActions({...OPTIONS, seed: 3})).toEqual(plan);
  expect(planSoakActions({...OPTIONS, seed: 4})).not.toEqual(plan);
  const starts = plan.map(({startMs}) => startMs);
  expect(starts).toEqual(starts.toSorted((a, b) => a - b));
});

/** Types of the faults at the edges of processes, drawn by themselves. */
const PROCESS_TYPES: readonly SoakAction['type'][] = [
  'log-reader-loss',
  'log-reader-stall',
  'port-taken',
  'settings-in-steps',
  'reload-at-start',
  'reload-series',
  'unfinished-bodies',
  'unread-responses',
];

/** Types of the responses that promise what a server does not say. */
const RESPONSE_TYPES: readonly SoakAction['type'][] = [
  'server-unstated-refusals',
];

/** Types of the callers that leave. */
const LEAVING_TYPES: readonly SoakAction['type'][] = [
  'leaving-crowd',
  'leaving-crowd-in-pause',
];

test('50 seeds together draw all 35 types of actions', () => {
  const types = new Set(
    Array.from({length: 50}, (_, seed) => planSoakActions({...OPTIONS, seed}))
      .flat()
      .map(({type}) => type),
  );
  expect(types.size).toEqual(35);
  expect(PROCESS_TYPES.every(type => types.has(type))).toEqual(true);
  expect(LEAVING_TYPES.every(type => types.has(type))).toEqual(true);
});

/** Digest of the actions that seeds drew before silences were added. */
const FORMER_PLANS = {
  1: 'dc069c6b55fe2331f459253ccc1b4ef6a18b7e0ef1a0023bced7454de0da659a',
  7: 'aa8f3082f41dbb5baa4c73ff02f5914f004ef847e0443f56720cf614f32f2f71',
};

test('kept seeds keep the actions that they drew before silences were added', () => {
  Object.entries(FORMER_PLANS).forEach(([seed, digest]) => {
    const former = planSoakActions({...OPTIONS, seed: Number(seed)}).filter(
      ({type}) =>
        type !== 'server-silence' &&
        type !== 'server-limit' &&
        !PROCESS_TYPES.includes(type) &&
        !RESPONSE_TYPES.includes(type) &&
        !LEAVING_TYPES.includes(type),
    );
    const text = JSON.stringify(former);
    expect(createHash('sha256').update(text).digest('hex')).toEqual(digest);
  });
});

test('silences of servers overlap, follow each other and stand beside changes of the configuration', () => {
  const plans = Array.from({length: 50}, (_, seed) =>
    planSoakActions({...OPTIONS, seed}),
  );
  const hasPair = (
    isPair: (silence: SoakAction, other: SoakAction) => boolean,
  ): boolean =>
    plans.some(plan =>
      plan
        .filter(({type}) => type === 'server-silence')
        .some(silence => plan.some(other => isPair(silence, other))),
    );
  const isSilence = ({type}: SoakAction) => type === 'server-silence';
  const endMs = ({startMs, durationMs}: SoakAction) => startMs + durationMs;
  expect(
    hasPair(
      (silence, other) =>
        isSilence(other) &&
        other.targetIndex !== silence.targetIndex &&
        Math.abs(other.startMs - silence.startMs) < 1_000,
    ),
  ).toEqual(true);
  expect(
    hasPair(
      (silence, other) =>
        isSilence(other) &&
        other.targetIndex === silence.targetIndex &&
        other.startMs > endMs(silence) &&
        other.startMs < endMs(silence) + 1_000,
    ),
  ).toEqual(true);
  expect(
    hasPair(
      (silence, other) =>
        other.type === 'config-change' &&
        other.startMs > silence.startMs &&
        other.startMs < endMs(silence),
    ),
  ).toEqual(true);
  const durations = plans
    .flat()
    .filter(isSilence)
    .map(({durationMs}) => durationMs);
  expect(Math.min(...durations) >= 1_000).toEqual(true);
  expect(Math.max(...durations) <= 1_600).toEqual(true);
});
