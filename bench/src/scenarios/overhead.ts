import {openExchange, readEvents} from '@figfall/http-client';
import {
  createCaller,
  makePrompt,
  startProcessDeployment,
} from '@figfall/playground';
import {atMost} from '../results/at_most.js';
import type {BenchRow} from '../results/bench_row.js';
import {findValue} from '../results/find_value.js';
import {readProcessUsage} from '../results/read_process_usage.js';
import {quantileRows} from '../results/quantile_rows.js';
import type {Scenario} from './scenario.js';

const STREAMS = [1, 200] as const;
const REQUESTS_BY_STREAMS = {1: 60, 200: 400} as const;
const ENGINES = 4;
const MS_PER_SECOND = 1_000;
const WARM_UP_REQUESTS = 600;
const PROMPT_TOKENS = 1_000;
const MAX_TOKENS = 10;

interface LatencySample {
  readonly firstTokenMs: number;
  /** Mean time between two tokens, in milliseconds. */
  readonly tokenIntervalMs: number;
}

/** Sends one prompt to an engine directly, without figfall. */
async function sendDirectly(
  baseUrl: string,
  prompt: string,
): Promise<LatencySample> {
  const startedAt = performance.now();
  const opened = await openExchange({
    method: 'POST',
    baseUrl,
    path: '/v1/completions',
    body: JSON.stringify({model: 'm', prompt, max_tokens: MAX_TOKENS}),
    timeoutMs: 60_000,
  });
  if (opened.isErr()) throw new Error(opened.error.message);
  const times: number[] = [];
  for await (const data of readEvents(opened.value)) {
    if (data.includes('token_index')) times.push(performance.now());
  }
  const first = times[0] - startedAt;
  const last = times.at(-1) ?? times[0];
  return {
    firstTokenMs: first,
    tokenIntervalMs: (last - times[0]) / (times.length - 1),
  };
}

/** Runs `count` tasks, at most `streams` of them at the same time. */
async function runConcurrently<Value>(
  count: number,
  streams: number,
  run: (i: number) => Promise<Value>,
): Promise<Value[]> {
  const results: Value[] = [];
  let next = 0;
  const worker = async () => {
    while (next < count) results.push(await run(next++));
  };
  await Promise.all(Array.from({length: streams}, worker));
  return results;
}

type NodeUsage = ReturnType<typeof readProcessUsage> & {
  readonly id: string;
  readonly sampledAt: number;
};

/** CPU and memory of entries and agents under load. */
function usageRows(
  policy: string,
  before: readonly NodeUsage[],
  after: readonly NodeUsage[],
): BenchRow[] {
  return (['entry', 'agent'] as const).flatMap(role => {
    const own = after.filter(({id}) => id.startsWith(role));
    const cpuPercents = own.map(({id, sampledAt, cpuSeconds}) => {
      const start = before.find(node => node.id === id);
      const seconds =
        (sampledAt - (start?.sampledAt ?? sampledAt)) / MS_PER_SECOND;
      return ((cpuSeconds - (start?.cpuSeconds ?? 0)) / seconds) * 100;
    });
    const memory = Math.max(...own.map(({residentMb}) => residentMb));
    return [
      {
        policy,
        metric: `${role} CPU loaded, largest`,
        value: Math.max(...cpuPercents),
        unit: '% of a core',
      },
      {
        policy,
        metric: `${role} resident memory loaded`,
        value: memory,
        unit: 'MB',
      },
    ];
  });
}

/** Latency of tokens through figfall, and directly from the engine. */
export const overhead: Scenario = {
  summary: 'added time to first token and between tokens, 1 and 200 streams',
  run: async ({log}) => {
    const deployment = await startProcessDeployment({
      entries: 2,
      services: 0,
      engines: ENGINES,
      engine: {prefillRate: 400_000, decodeMs: 20, batchKnee: 64},
    });
    const {engineUrls} = deployment;
    const callers = deployment.entryUrls.map(url =>
      createCaller(() => url, 'lindenau'),
    );
    await runConcurrently(WARM_UP_REQUESTS, 8, i =>
      callers[i % callers.length].complete({
        prompt: makePrompt(PROMPT_TOKENS, `warm ${i}`),
        maxTokens: 2,
      }),
    );
    const readUsages = () =>
      deployment.processIds().map(({id, pid}) => ({
        id,
        sampledAt: Date.now(),
        ...readProcessUsage(pid),
      }));
    const rows: BenchRow[] = [];
    for (const streams of STREAMS) {
      log(`${streams} streams`);
      const directSamples = await runConcurrently(
        REQUESTS_BY_STREAMS[streams],
        streams,
        i =>
          sendDirectly(
            engineUrls[i % engineUrls.length],
            makePrompt(PROMPT_TOKENS, `direct ${streams} ${i}`),
          ),
      );
      const before = readUsages();
      const figfallSamples = await runConcurrently(
        REQUESTS_BY_STREAMS[streams],
        streams,
        async i => {
          const prompt = makePrompt(PROMPT_TOKENS, `through ${streams} ${i}`);
          const caller = callers[i % callers.length];
          const answer = await caller.complete({prompt, maxTokens: MAX_TOKENS});
          const firstTokenMs = answer.firstTokenMs ?? 0;
          const rest = answer.totalMs - firstTokenMs;
          return {firstTokenMs, tokenIntervalMs: rest / (MAX_TOKENS - 1)};
        },
      );
      rows.push(...usageRows(`figfall ${streams}`, before, readUsages()));
      [
        {policy: `direct ${streams}`, samples: directSamples},
        {policy: `figfall ${streams}`, samples: figfallSamples},
      ].forEach(({policy, samples}) =>
        rows.push(
          ...quantileRows(
            policy,
            'first token',
            samples.map(s => s.firstTokenMs),
            'ms',
          ),
          ...quantileRows(
            policy,
            'between tokens',
            samples.map(s => s.tokenIntervalMs),
            'ms',
          ),
        ),
      );
    }
    await deployment.close();
    const p95 = findValue(rows, 'figfall 200', 'first token p95');
    const between = findValue(rows, 'figfall 200', 'between tokens p95');
    return {
      rows,
      targets: [
        atMost('first token p95 in ms, 200 streams', p95, 390),
        atMost('between tokens p95 in ms, 200 streams', between, 73),
      ],
      broken: [],
    };
  },
};
