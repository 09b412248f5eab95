import {readStatus} from '@figfall/operator';
import {createPlatformClient} from '@figfall/platform';
import {createCaller} from '../caller/create_caller.js';
import {expectedText} from '../caller/expected_text.js';
import {makePrompt} from '../caller/make_prompt.js';
import {applyRecords} from '../deployment/apply_records.js';
import {waitFor} from '../deployment/wait_for.js';
import {sleep} from '../http/sleep.js';
import type {DemoStep} from './demo_step.js';
import type {DemoTarget} from './demo_target.js';
import {readJson} from './read_json.js';

const WORKSPACE = 'lindenau';
const ZONE = 'werk';
const SETTLE_MS = 1_500;
const ZONE_REQUESTS = 12;
const PLATFORM_TIMEOUT_MS = 2_000;

type Caller = ReturnType<typeof createCaller>;

async function promptStep(
  caller: Caller,
  name: string,
  tokens: number,
): Promise<DemoStep> {
  const prompt = makePrompt(tokens, name);
  const answer = await caller.complete({prompt, maxTokens: 12});
  const isRight = answer.text === expectedText(prompt, 12);
  const detail = answer.complete
    ? `12 tokens, the first after ${Math.round(answer.firstTokenMs ?? 0)} ms:${answer.text}`
    : `status ${answer.status}: ${answer.message}`;
  return {name, detail, passed: answer.complete && isRight};
}

async function executions(target: DemoTarget, key: string): Promise<number> {
  const counts = await Promise.all(
    target.serviceUrls.map(url =>
      readJson<Record<string, number>>(url, '/counts'),
    ),
  );
  return counts.reduce((sum, count) => sum + (count[key] ?? 0), 0);
}

async function bookingSteps(
  callers: readonly Caller[],
  target: DemoTarget,
): Promise<DemoStep[]> {
  const key = `booking-${Date.now()}`;
  const booking = {key, body: '{"odorant":"THT"}', createdAt: Date.now()};
  const first = await callers[0].book(booking);
  const again = await (callers[1] ?? callers[0]).book(booking);
  const runs = await executions(target, key);
  return [
    {
      name: 'a booking',
      detail: `status ${first.status}: ${first.text}`,
      passed: first.status === 201,
    },
    {
      name: 'the same booking again, through another entry',
      detail: `status ${again.status}: ${again.text}; the service ran it ${runs} time(s)`,
      passed: again.status === 201 && again.text === first.text && runs === 1,
    },
  ];
}

function setZone(target: DemoTarget, state: 'in' | 'out'): Promise<void> {
  const since = new Date().toISOString();
  return applyRecords(target.platformUrl, [
    {kind: 'availability-zone', schemaVersion: 1, name: ZONE, state, since},
  ]);
}

async function zoneWork(target: DemoTarget): Promise<number> {
  const figures = await Promise.all(
    target.engines
      .filter(({zone}) => zone === ZONE)
      .map(({url}) => readJson<{generations: number}>(url, '/figures')),
  );
  return figures.reduce((sum, {generations}) => sum + generations, 0);
}

async function sendSome(callers: readonly Caller[]): Promise<number> {
  const answers = await Promise.all(
    Array.from({length: ZONE_REQUESTS}, (_, i) =>
      callers[i % callers.length].complete({
        prompt: makePrompt(1_000, `request ${i} at ${Date.now()}`),
      }),
    ),
  );
  return answers.filter(({complete}) => complete).length;
}

async function sentences(target: DemoTarget): Promise<readonly string[]> {
  const platform = createPlatformClient({
    baseUrl: target.platformUrl,
    timeoutMs: PLATFORM_TIMEOUT_MS,
    watchMs: PLATFORM_TIMEOUT_MS,
  });
  const status = await readStatus(platform, Date.now());
  return status.isOk() ? status.value.sentences : [status.error];
}

async function zoneSteps(
  callers: readonly Caller[],
  target: DemoTarget,
  print: (line: string) => void,
): Promise<DemoStep[]> {
  await setZone(target, 'out');
  await sleep(SETTLE_MS);
  const before = await zoneWork(target);
  const whileOut = await sendSome(callers);
  const after = await zoneWork(target);
  await sleep(SETTLE_MS);
  (await sentences(target)).forEach(line => print(`  ${line}`));
  await setZone(target, 'in');
  await waitFor('work in the restored zone', async () => {
    await sendSome(callers);
    return (await zoneWork(target)) > after;
  });
  await sleep(SETTLE_MS);
  (await sentences(target)).forEach(line => print(`  ${line}`));
  return [
    {
      name: `availability zone ${ZONE} is out`,
      detail: `${whileOut} of ${ZONE_REQUESTS} requests were answered, ${after - before} of them there`,
      passed: whileOut === ZONE_REQUESTS && after === before,
    },
    {
      name: `availability zone ${ZONE} is back`,
      detail: 'it takes work again',
      passed: true,
    },
  ];
}

/** Sends the demo's requests, prints what came, and tells if all was right. */
export async function runDemo(
  target: DemoTarget,
  print: (line: string) => void,
): Promise<boolean> {
  const callers = target.entryUrls.map(url =>
    createCaller(() => url, WORKSPACE),
  );
  const [caller] = callers;
  const beyond = Math.round(target.engineTokens * 1.8);
  const report = (step: DemoStep): DemoStep => {
    const mark = step.passed ? 'ok  ' : 'FAIL';
    print(`${mark} ${step.name}: ${step.detail}`);
    return step;
  };
  const prompts = [
    {name: 'a prompt of 1,000 tokens', tokens: 1_000},
    {name: 'a prompt of 100,000 tokens', tokens: 100_000},
    {
      name: `a prompt of ${beyond} tokens, beyond one engine's ${target.engineTokens}`,
      tokens: beyond,
    },
  ];
  const steps: DemoStep[] = [];
  for (const {name, tokens} of prompts) {
    steps.push(report(await promptStep(caller, name, tokens)));
  }
  steps.push(...(await bookingSteps(callers, target)).map(report));
  steps.push(...(await zoneSteps(callers, target, print)).map(report));
  return steps.every(({passed}) => passed);
}
