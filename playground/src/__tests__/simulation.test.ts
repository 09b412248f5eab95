import {test} from 'node:test';
import {expect} from 'earl';
import {SimulatedServer} from '../simulation/simulated_server.js';
import type {SimulatedRequest} from '../simulation/simulated_request.js';
import {runSimulation} from '../simulation/run_simulation.js';
import {REFERENCE_ENGINE} from '../simulation/reference_engine.js';
import {VirtualClock} from '../simulation/virtual_clock.js';

const LONG_PROMPT = {
  kind: 'long',
  outputTokens: 840,
  targetMs: 3_000,
  pauseMs: 1_000,
  timeoutMs: 15_000,
  worth: 21,
  lateWorth: 5.2,
};

function prompt(
  id: string,
  arrivalMs: number,
  promptTokens: number,
): SimulatedRequest {
  return {...LONG_PROMPT, id, arrivalMs, promptTokens};
}

test('callbacks run by time, then in the order in which they were scheduled', async () => {
  const clock = new VirtualClock();
  const calls: string[] = [];
  clock.schedule(20, () => calls.push(`c ${clock.now()}`));
  clock.schedule(10, () => {
    calls.push(`a ${clock.now()}`);
    clock.schedule(10, () => calls.push(`d ${clock.now()}`));
  });
  clock.schedule(10, () => calls.push(`b ${clock.now()}`));
  clock.schedule(31, () => calls.push('too late'));
  await clock.runUntil(30);
  expect(calls).toEqual(['a 10', 'b 10', 'c 20', 'd 20']);
  expect(clock.now()).toEqual(30);
});

/**
 * Returns the times in ms of the events of prompts that start at 0, and -1 for
 * their end. A prompt is given as its input and output tokens.
 */
async function eventTimes(
  ...sizes: readonly (readonly [number, number])[]
): Promise<readonly (readonly number[])[]> {
  const clock = new VirtualClock();
  const server = new SimulatedServer(REFERENCE_ENGINE, clock);
  const times = sizes.map(([promptTokens, outputTokens]) => {
    const events: number[] = [];
    server.start({
      promptTokens,
      outputTokens,
      helpers: [],
      priority: 5,
      onEvent: () => events.push(Math.round(clock.now())),
      onEnd: () => events.push(-1),
    });
    return events;
  });
  await clock.runUntil(60_000);
  return times;
}

test('a simulated engine takes the configured prefill and decode times', async () => {
  const [short] = await eventTimes([5_000, 102]);
  expect(short).toEqual([74, 118, -1]);
  const [long] = await eventTimes([154_000, 51]);
  expect(long).toEqual([3_095, -1]);
});

test('the prefill of a long prompt delays events of a concurrent stream', async () => {
  const [stream = []] = await eventTimes([1_000, 510], [90_000, 51]);
  const pauses = stream.slice(1, -1).map((at, i) => at - (stream[i] ?? 0));
  expect(Math.max(...pauses)).toBeGreaterThan(1_000);
});

test('a longer prompt does not delay one whose parts are in prefill', async () => {
  const load = [prompt('a', 0, 151_840), prompt('b', 290, 503_195)];
  const [first] = await runSimulation({
    seed: 1,
    gateways: 1,
    servers: 12,
    engine: REFERENCE_ENGINE,
    load,
  });
  expect(first?.outcome).toEqual('on-time');
  expect(first?.firstEventMs ?? Infinity).toBeLessThan(1_000);
});

test('figfall serves more of a mixed load in time than a baseline that sends all parts immediately', async () => {
  const long = [0, 600, 1_200, 1_800].map((at, i) =>
    prompt(`long-${i}`, at, 150_000 + 40_000 * i),
  );
  const short = Array.from({length: 60}, (_, i) => ({
    ...prompt(`short-${i}`, i * 50, 5_000),
    kind: 'short',
    outputTokens: 1_680,
    targetMs: 300,
    pauseMs: 250,
  }));
  const load = [...long, ...short].toSorted(
    (a, b) => a.arrivalMs - b.arrivalMs,
  );
  const countOnTime = async (baselineMaxPartTokens?: number) => {
    const results = await runSimulation({
      seed: 1,
      gateways: 3,
      servers: 12,
      engine: REFERENCE_ENGINE,
      load,
      baselineMaxPartTokens,
    });
    return results.filter(({outcome}) => outcome === 'on-time').length;
  };
  const figfallOnTime = await countOnTime();
  expect(figfallOnTime).toBeGreaterThan(await countOnTime(10_000));
  expect(await countOnTime()).toEqual(figfallOnTime);
});
