import {createCaller, sleep, startProcessDeployment} from '@figfall/playground';
import type {CallerResponse} from '@figfall/playground';
import {createRandom} from '@figfall/playground';

import {atMost} from '../results/at_most.js';
import type {Scenario} from './scenario.js';

const BOOKINGS = 240;
const SPREAD_MS = 14_000;
const SENDS_MAX = 4;
const TIMEOUT_MS = 3_000;
const POLICY = 'figfall';

/** One answer, with the executions of its key when it came. */
interface Observed {
  readonly key: string;
  readonly answer: CallerResponse;
  readonly runsThen: number;
}

function answerKind({errorKind, complete}: CallerResponse): string {
  return errorKind ?? (complete ? 'answered' : 'no answer');
}

/** Bookings under kills, lost answers, outages, pauses and resends. */
export const atMostOnce: Scenario = {
  summary: 'bookings under kills, pauses, outages, lost answers and resends',
  run: async ({seed, note}) => {
    const random = createRandom(seed);
    const system = await startProcessDeployment({entries: 3, services: 3});
    const {platform, services} = system;
    const runs = (key: string) =>
      services.reduce((n, {executions}) => n + (executions.get(key) ?? 0), 0);
    const callers = system.entryUrls.map(url =>
      createCaller(() => url, 'lindenau'),
    );
    const observed: Observed[] = [];

    const book = async (i: number) => {
      await sleep(random() * SPREAD_MS);
      const key = `key-${i}`;
      const createdAt = Date.now();
      for (let send = 0; send < SENDS_MAX; send++) {
        const caller = callers[Math.floor(random() * callers.length)];
        const booking = {key, body: `{"n":${i}}`, createdAt};
        const answer = await caller.book({...booking, timeoutMs: TIMEOUT_MS});
        observed.push({key, answer, runsThen: runs(key)});
        const isFinal =
          answer.complete || answer.errorKind === 'outcome-unknown';
        if (isFinal && random() < 0.7) return;
        await sleep(100 + random() * 500);
      }
    };

    const faults = async () => {
      const steps: [string, () => unknown][] = [
        ['agent killed', () => system.killAgent(0)],
        ['answers of writes lost', () => (platform.faults.loseAnswers = 15)],
        ['agent started', () => system.startAgent(0)],
        ['platform down', () => (platform.faults.down = true)],
        ['platform up', () => (platform.faults.down = false)],
        ['agent paused', () => system.pauseAgent(1)],
        ['entry killed', () => system.killEntry(0)],
        ['agent woken', () => system.resumeAgent(1)],
        ['service answers lost', () => (services[2].faults.loseAnswers = 5)],
        ['platform slow', () => (platform.faults.delayMs = 300)],
        ['platform fast', () => (platform.faults.delayMs = 0)],
        ['agent killed', () => system.killAgent(2)],
      ];
      for (const [name, act] of steps) {
        await sleep(SPREAD_MS / steps.length);
        note(name);
        await act();
      }
    };

    await Promise.all([
      faults(),
      ...Array.from({length: BOOKINGS}, (_, i) => book(i)),
    ]);
    const keys = Array.from({length: BOOKINGS}, (_, i) => `key-${i}`);
    const most = Math.max(...keys.map(runs));
    const falseNo = observed.filter(
      ({answer, runsThen}) => answer.ran === 'no' && runsThen > 0,
    ).length;
    const falseYes = observed.filter(
      ({answer, runsThen}) => answer.complete && runsThen !== 1,
    ).length;
    await system.close();
    const count = (kind: string) =>
      observed.filter(({answer}) => answerKind(answer) === kind).length;
    const kinds = [...new Set(observed.map(({answer}) => answerKind(answer)))];
    return {
      rows: [
        {
          policy: POLICY,
          metric: 'requests sent',
          value: observed.length,
          unit: 'requests',
        },
        {
          policy: POLICY,
          metric: 'keys that ran',
          value: keys.filter(key => runs(key) > 0).length,
          unit: 'keys',
        },
        ...kinds.map(kind => ({
          policy: POLICY,
          metric: `answer ${kind}`,
          value: count(kind),
          unit: 'requests',
        })),
      ],
      targets: [
        atMost('executions of a key', most, 1),
        atMost('false "not run"', falseNo, 0),
        atMost('success without one execution', falseYes, 0),
      ],
      broken: [
        ...(most > 1 ? ['a key ran more than once'] : []),
        ...(falseNo > 0 ? ['a refusal said "not run" and was false'] : []),
      ],
    };
  },
};
