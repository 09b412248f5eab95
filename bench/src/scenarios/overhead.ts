import {openExchange, readEvents} from '@figfall/http-client';
import {
  createCaller,
  makePrompt,
  startProcessDeployment,
} from '@figfall/playground';
import {atMost} from '../results/at_most.js';
import type {BenchRow} from '../results/bench_row.js';
import {findValue} from '../results/find_value.js';
import {processUsage} from '../results/process_usage.js';
import {quantileRows} from '../results/quantile_rows.js';
import type {Scenario} from './scenario.js';

const STREAMS = [1, 200] as const;
const REQUESTS = {1: 60, 200: 400} as const;
const ENGINES = 4;
const MS_PER_SECOND = 1_000;
const WARM_REQUESTS = 600;
const PROMPT_TOKENS = 1_000;
const MAX_TOKENS = 10;

interface Sample {
  readonly firstTokenMs: number;
  readonly betweenMs: number;
}

/** Sends one prompt straight to a stand-in engine. */
async function direct(baseUrl: string, prompt: string): Promise<Sample> {
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
    betweenMs: (last - times[0]) / (times.length - 1),
  };
}

/** Runs tasks with a bounded number at once. */
async function inParallel<Value>(
  count: number,
  width: number,
  run: (i: number) => Promise<Value>,
): Promise<Value[]> {
  const results: Value[] = [];
  let next = 0;
  const worker = async () => {
    while (next < count) results.push(await run(next++));
  };
  await Promise.all(Array.from({length: width}, worker));
  return results;
}

type NodeUsage = ReturnType<typeof processUsage> & {
  readonly id: string;
  readonly at: number;
};

/** CPU and memory of entries and agents while they are loaded. */
function loadRows(
  policy: string,
  before: readonly NodeUsage[],
  after: readonly NodeUsage[],
): BenchRow[] {
  return (['entry', 'agent'] as const).flatMap(role => {
    const own = after.filter(({id}) => id.startsWith(role));
    const shares = own.map(({id, at, cpuSeconds}) => {
      const start = before.find(node => node.id === id);
      const seconds = (at - (start?.at ?? at)) / MS_PER_SECOND;
      return ((cpuSeconds - (start?.cpuSeconds ?? 0)) / seconds) * 100;
    });
    const memory = Math.max(...own.map(({residentMb}) => residentMb));
    return [
      {
        policy,
        metric: `${role} CPU loaded, largest`,
        value: Math.max(...shares),
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

/** Time that figfall adds to tokens, against the engine directly. */
export const overhead: Scenario = {
  summary: 'added time to first token and between tokens, 1 and 200 streams',
  run: async ({note}) => {
    const fleet = await startProcessDeployment({
      entries: 2,
      services: 0,
      engines: ENGINES,
      engine: {prefillRate: 400_000, decodeMs: 20, batchKnee: 64},
    });
    const {engineUrls} = fleet;
    const callers = fleet.entryUrls.map(url =>
      createCaller(() => url, 'lindenau'),
    );
    await inParallel(WARM_REQUESTS, 8, i =>
      callers[i % callers.length].complete({
        prompt: makePrompt(PROMPT_TOKENS, `warm ${i}`),
        maxTokens: 2,
      }),
    );
    const usages = () =>
      fleet
        .processIds()
        .map(({id, pid}) => ({id, at: Date.now(), ...processUsage(pid)}));
    const rows: BenchRow[] = [];
    for (const width of STREAMS) {
      note(`${width} streams`);
      const plain = await inParallel(REQUESTS[width], width, i =>
        direct(
          engineUrls[i % engineUrls.length],
          makePrompt(PROMPT_TOKENS, `direct ${width} ${i}`),
        ),
      );
      const before = usages();
      const through = await inParallel(REQUESTS[width], width, async i => {
        const prompt = makePrompt(PROMPT_TOKENS, `through ${width} ${i}`);
        const caller = callers[i % callers.length];
        const answer = await caller.complete({prompt, maxTokens: MAX_TOKENS});
        const firstTokenMs = answer.firstTokenMs ?? 0;
        const rest = answer.totalMs - firstTokenMs;
        return {firstTokenMs, betweenMs: rest / (MAX_TOKENS - 1)};
      });
      rows.push(...loadRows(`figfall ${width}`, before, usages()));
      [
        {policy: `direct ${width}`, samples: plain},
        {policy: `figfall ${width}`, samples: through},
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
            samples.map(s => s.betweenMs),
            'ms',
          ),
        ),
      );
    }
    await fleet.close();
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
