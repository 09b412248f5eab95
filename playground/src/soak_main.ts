import {parseArgs} from 'node:util';
import {runSoak} from './soak/run_soak.js';

const {values} = parseArgs({
  options: {
    seed: {type: 'string', default: '1'},
    count: {type: 'string', default: '1'},
    seconds: {type: 'string', default: '10'},
    jobs: {type: 'string', default: '2'},
    gateways: {type: 'string', default: '4'},
  },
});

const first = Number(values.seed);
const seeds = Array.from({length: Number(values.count)}, (_, i) => first + i);
const options = {
  durationMs: Number(values.seconds) * 1_000,
  gateways: Number(values.gateways),
};
let brokenRuns = 0;

/** Runs the seeds that are left, one after the other. */
async function runNext(): Promise<void> {
  const seed = seeds.shift();
  if (seed === undefined) return;
  const {broken, requests, served, actions, folder} = await runSoak({
    seed,
    ...options,
  });
  const verdict = broken.length > 0 ? `BROKEN, logs in ${folder}` : 'kept';
  process.stdout.write(
    `seed ${seed}: ${verdict}; ${actions} actions, ${served} of ${requests} requests served\n`,
  );
  broken.forEach(line => process.stdout.write(`  ${line}\n`));
  if (broken.length > 0) brokenRuns += 1;
  await runNext();
}

void Promise.all(Array.from({length: Number(values.jobs)}, runNext)).then(
  () => {
    process.stdout.write(`${brokenRuns} runs broke a promise\n`);
    process.exitCode = brokenRuns > 0 ? 1 : 0;
  },
);
