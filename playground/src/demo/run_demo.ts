import {readStatus} from '@figfall/operator';
import {createPlatformClient} from '@figfall/platform';
import {createCaller} from '../caller/create_caller.js';
import {expectedText} from '../caller/expected_text.js';
import {makePrompt} from '../caller/make_prompt.js';
import {applyRecords} from '../deployment/apply_records.js';
import {waitFor} from '../deployment/wait_for.js';
import {sleep} from '../http/sleep.js';
import type {DemoStepResult} from './demo_step_result.js';
import type {DemoTarget} from './demo_target.js';
import {readJson} from './read_json.js';

const WORKSPACE = 'lindenau';
/** Zone that the demo evacuates and restores. */
const ZONE = 'werk';
/** Time until a change of a zone is applied and visible in the status. */
const SETTLE_MS = 1_500;
const ZONE_REQUEST_COUNT = 12;
const PLATFORM_TIMEOUT_MS = 2_000;

type Caller = ReturnType<typeof createCaller>;

async function runPromptStep(
  caller: Caller,
  name: string,
  tokens: number,
): Promise<DemoStepResult> {
  const prompt = makePrompt(tokens, name);
  const answer = await caller.complete({prompt, maxTokens: 12});
  const isExpected = answer.text === expectedText(prompt, 12);
  const detail = answer.complete
    ? `12 tokens, the first after ${Math.round(answer.firstTokenMs ?? 0)} ms:${answer.text}`
    : `status ${answer.status}: ${answer.message}`;
  return {name, detail, passed: answer.complete && isExpected};
}

/** Returns how often the service instances executed a booking. */
async function countExecutions(
  target: DemoTarget,
  key: string,
): Promise<number> {
  const counts = await Promise.all(
    target.serviceUrls.map(url =>
      readJson<Record<string, number>>(url, '/counts'),
    ),
  );
  return counts.reduce((sum, count) => sum + (count[key] ?? 0), 0);
}

async function runBookingSteps(
  callers: readonly Caller[],
  target: DemoTarget,
): Promise<DemoStepResult[]> {
  const key = `booking-${Date.now()}`;
  const booking = {key, body: '{"odorant":"THT"}', createdAt: Date.now()};
  const first = await callers[0].book(booking);
  const repeated = await (callers[1] ?? callers[0]).book(booking);
  const executionCount = await countExecutions(target, key);
  return [
    {
      name: 'a booking',
      detail: `status ${first.status}: ${first.text}`,
      passed: first.status === 201,
    },
    {
      name: 'the same booking repeated, through another entry',
      detail: `status ${repeated.status}: ${repeated.text}; the service executed it ${executionCount} time(s)`,
      passed:
        repeated.status === 201 &&
        repeated.text === first.text &&
        executionCount === 1,
    },
  ];
}

function setZone(target: DemoTarget, state: 'in' | 'out'): Promise<void> {
  const since = new Date().toISOString();
  return applyRecords(target.platformUrl, [
    {kind: 'availability-zone', schemaVersion: 1, name: ZONE, state, since},
  ]);
}

/** Returns the number of generations on engines of the zone. */
async function countZoneGenerations(target: DemoTarget): Promise<number> {
  const figures = await Promise.all(
    target.engines
      .filter(({zone}) => zone === ZONE)
      .map(({url}) => readJson<{generations: number}>(url, '/figures')),
  );
  return figures.reduce((sum, {generations}) => sum + generations, 0);
}

/** Sends prompts and returns how many were answered completely. */
async function sendPrompts(callers: readonly Caller[]): Promise<number> {
  const answers = await Promise.all(
    Array.from({length: ZONE_REQUEST_COUNT}, (_, i) =>
      callers[i % callers.length].complete({
        prompt: makePrompt(1_000, `request ${i} at ${Date.now()}`),
      }),
    ),
  );
  return answers.filter(({complete}) => complete).length;
}

/** Returns the status report of the platform, or the error. */
async function readStatusLines(target: DemoTarget): Promise<readonly string[]> {
  const platform = createPlatformClient({
    baseUrl: target.platformUrl,
    timeoutMs: PLATFORM_TIMEOUT_MS,
  });
  const status = await readStatus(platform, Date.now());
  return status.isOk() ? status.value.sentences : [status.error];
}

async function runZoneSteps(
  callers: readonly Caller[],
  target: DemoTarget,
  print: (line: string) => void,
): Promise<DemoStepResult[]> {
  await setZone(target, 'out');
  await sleep(SETTLE_MS);
  const before = await countZoneGenerations(target);
  const completedCount = await sendPrompts(callers);
  const after = await countZoneGenerations(target);
  await sleep(SETTLE_MS);
  (await readStatusLines(target)).forEach(line => print(`  ${line}`));
  await setZone(target, 'in');
  await waitFor('requests reach the restored zone', async () => {
    await sendPrompts(callers);
    return (await countZoneGenerations(target)) > after;
  });
  await sleep(SETTLE_MS);
  (await readStatusLines(target)).forEach(line => print(`  ${line}`));
  return [
    {
      name: `availability zone ${ZONE} is evacuated`,
      detail: `${completedCount} of ${ZONE_REQUEST_COUNT} requests completed, ${after - before} of them in this zone`,
      passed: completedCount === ZONE_REQUEST_COUNT && after === before,
    },
    {
      name: `availability zone ${ZONE} is restored`,
      detail: 'it receives requests again',
      passed: true,
    },
  ];
}

/**
 * Runs the steps of the demo: prompts of three sizes, a repeated booking, and
 * the evacuation of a zone. Prints each result; returns true if all passed.
 */
export async function runDemo(
  target: DemoTarget,
  print: (line: string) => void,
): Promise<boolean> {
  const callers = target.entryUrls.map(url =>
    createCaller(() => url, WORKSPACE),
  );
  const [caller] = callers;
  const oversizedTokens = Math.round(target.engineTokens * 1.8);
  const report = (step: DemoStepResult): DemoStepResult => {
    const label = step.passed ? 'ok  ' : 'FAIL';
    print(`${label} ${step.name}: ${step.detail}`);
    return step;
  };
  const prompts = [
    {name: 'a prompt of 1,000 tokens', tokens: 1_000},
    {name: 'a prompt of 100,000 tokens', tokens: 100_000},
    {
      name: `a prompt of ${oversizedTokens} tokens, beyond one engine's ${target.engineTokens}`,
      tokens: oversizedTokens,
    },
  ];
  const steps: DemoStepResult[] = [];
  for (const {name, tokens} of prompts) {
    steps.push(report(await runPromptStep(caller, name, tokens)));
  }
  steps.push(...(await runBookingSteps(callers, target)).map(report));
  steps.push(...(await runZoneSteps(callers, target, print)).map(report));
  return steps.every(({passed}) => passed);
}
