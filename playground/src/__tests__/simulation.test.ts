import {test} from 'node:test';
import {expect} from 'earl';
import {SimulatedServer} from '../simulation/simulated_server.js';
import type {SimulatedRequest} from '../simulation/simulated_request.js';
import {runSimulation} from '../simulation/run_simulation.js';
import {REFERENCE_ENGINE} from '../simulation/reference_engine.js';
import {VirtualClock} from '../simulation/virtual_clock.js';

const LONG = {
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
  return {...LONG, id, arrivalMs, promptTokens};
}

test('actions run in order of time, and of planning within a moment', async () => {
  const clock = new VirtualClock();
  const seen: string[] = [];
  clock.schedule(20, () => seen.push(`c ${clock.now()}`));
  clock.schedule(10, () => {
    seen.push(`a ${clock.now()}`);
    clock.schedule(10, () => seen.push(`d ${clock.now()}`));
  });
  clock.schedule(10, () => seen.push(`b ${clock.now()}`));
  clock.schedule(31, () => seen.push('too late'));
  await clock.runUntil(30);
  expect(seen).toEqual(['a 10', 'b 10', 'c 20', 'd 20']);
  expect(clock.now()).toEqual(30);
});

/** Times at which a server makes the events of prompts that start at 0. */
async function eventTimes(
  ...sizes: readonly (readonly [number, number])[]
): Promise<readonly (readonly number[])[]> {
  const clock = new VirtualClock();
  const server = new SimulatedServer(REFERENCE_ENGINE, clock);
  const times = sizes.map(([promptTokens, outputTokens]) => {
    const own: number[] = [];
    server.start({
      promptTokens,
      outputTokens,
      helpers: [],
      priority: 5,
      onEvent: () => own.push(Math.round(clock.now())),
      onEnd: () => own.push(-1),
    });
    return own;
  });
  await clock.runUntil(60_000);
  return times;
}

test('a simulated engine prefills and decodes in the time its parameters give', async () => {
  const [short] = await eventTimes([5_000, 102]);
  expect(short).toEqual([74, 118, -1]);
  const [long] = await eventTimes([154_000, 51]);
  expect(long).toEqual([3_095, -1]);
});

test('a long prompt makes a stream beside it pause', async () => {
  const [stream = []] = await eventTimes([1_000, 510], [90_000, 51]);
  const pauses = stream.slice(1, -1).map((at, i) => at - (stream[i] ?? 0));
  expect(Math.max(...pauses)).toBeGreaterThan(1_000);
});

test('a prompt whose parts are being read is not held up by a longer one', async () => {
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

test('figfall serves more of a mixed load in time than parts sent at once', async () => {
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
  const onTime = async (baselineMaxPartTokens?: number) => {
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
  const own = await onTime();
  expect(own).toBeGreaterThan(await onTime(10_000));
  expect(await onTime()).toEqual(own);
});
