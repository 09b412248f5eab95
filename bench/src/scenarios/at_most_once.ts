import {
  createCaller,
  createRandom,
  sleep,
  startProcessDeployment,
} from '@figfall/playground';
import type {CallerResponse} from '@figfall/playground';
import {atMost} from '../results/at_most.js';
import type {Scenario} from './scenario.js';

const BOOKINGS = 240;
const DURATION_MS = 14_000;
const SENDS_PER_KEY_MAX = 4;
const TIMEOUT_MS = 3_000;
const POLICY = 'figfall';

/** An answer, and the executions of its key at the time it arrived. */
interface ObservedAnswer {
  readonly key: string;
  readonly answer: CallerResponse;
  readonly executionsSoFar: number;
}

function answerKind({errorKind, complete}: CallerResponse): string {
  return errorKind ?? (complete ? 'answered' : 'no answer');
}

/** Checks that no booking runs twice during failures of every component. */
export const atMostOnce: Scenario = {
  summary: 'bookings during kills, pauses, outages, lost answers and resends',
  run: async ({seed, log}) => {
    const random = createRandom(seed);
    const deployment = await startProcessDeployment({entries: 3, services: 3});
    const {platform, services} = deployment;
    const executionsOf = (key: string) =>
      services.reduce((n, {executions}) => n + (executions.get(key) ?? 0), 0);
    const callers = deployment.entryUrls.map(url =>
      createCaller(() => url, 'lindenau'),
    );
    const observed: ObservedAnswer[] = [];

    /** Sends one booking, and often resends it under the same key. */
    const sendBookings = async (i: number) => {
      await sleep(random() * DURATION_MS);
      const key = `key-${i}`;
      const createdAt = Date.now();
      for (let send = 0; send < SENDS_PER_KEY_MAX; send++) {
        const caller = callers[Math.floor(random() * callers.length)];
        const booking = {key, body: `{"n":${i}}`, createdAt};
        const answer = await caller.book({...booking, timeoutMs: TIMEOUT_MS});
        observed.push({key, answer, executionsSoFar: executionsOf(key)});
        const isFinal =
          answer.complete || answer.errorKind === 'outcome-unknown';
        if (isFinal && random() < 0.7) return;
        await sleep(100 + random() * 500);
      }
    };

    const injectFaults = async () => {
      const steps: [string, () => unknown][] = [
        ['agent killed', () => deployment.killAgent(0)],
        ['responses to writes lost', () => (platform.faults.loseAnswers = 15)],
        ['agent started', () => deployment.startAgent(0)],
        ['platform down', () => (platform.faults.down = true)],
        ['platform up', () => (platform.faults.down = false)],
        ['agent paused', () => deployment.pauseAgent(1)],
        ['entry killed', () => deployment.killEntry(0)],
        ['agent resumed', () => deployment.resumeAgent(1)],
        ['service responses lost', () => (services[2].faults.loseAnswers = 5)],
        ['platform slow', () => (platform.faults.delayMs = 300)],
        ['platform no longer slow', () => (platform.faults.delayMs = 0)],
        ['agent killed', () => deployment.killAgent(2)],
      ];
      for (const [name, apply] of steps) {
        await sleep(DURATION_MS / steps.length);
        log(name);
        await apply();
      }
    };

    await Promise.all([
      injectFaults(),
      ...Array.from({length: BOOKINGS}, (_, i) => sendBookings(i)),
    ]);
    const keys = Array.from({length: BOOKINGS}, (_, i) => `key-${i}`);
    const maxExecutions = Math.max(...keys.map(executionsOf));
    const falseNotRun = observed.filter(
      ({answer, executionsSoFar}) => answer.ran === 'no' && executionsSoFar > 0,
    ).length;
    const falseSuccesses = observed.filter(
      ({answer, executionsSoFar}) => answer.complete && executionsSoFar !== 1,
    ).length;
    await deployment.close();
    const count = (kind: string) =>
      observed.filter(({answer}) => answerKind(answer) === kind).length;
    const answerKinds = [
      ...new Set(observed.map(({answer}) => answerKind(answer))),
    ];
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
          value: keys.filter(key => executionsOf(key) > 0).length,
          unit: 'keys',
        },
        ...answerKinds.map(kind => ({
          policy: POLICY,
          metric: `answer ${kind}`,
          value: count(kind),
          unit: 'requests',
        })),
      ],
      targets: [
        atMost('executions of a key', maxExecutions, 1),
        atMost('false "not run"', falseNotRun, 0),
        atMost('success without one execution', falseSuccesses, 0),
      ],
      broken: [
        ...(maxExecutions > 1 ? ['a key ran more than once'] : []),
        ...(falseNotRun > 0
          ? ['a refused key was reported as not run but had run']
          : []),
      ],
    };
  },
};
