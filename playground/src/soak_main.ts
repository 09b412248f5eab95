import {parseArgs} from 'node:util';
import {describeAnswers} from './soak/describe_answers.js';
import {runPlantedFaults} from './soak/run_planted_faults.js';
import {runSoak} from './soak/run_soak.js';

const {values} = parseArgs({
  options: {
    seed: {type: 'string', default: '1'},
    count: {type: 'string', default: '1'},
    seconds: {type: 'string', default: '10'},
    jobs: {type: 'string', default: '2'},
    gateways: {type: 'string', default: '4'},
    planted: {type: 'boolean', default: false},
  },
});

const firstSeed = Number(values.seed);
const seeds = Array.from(
  {length: Number(values.count)},
  (_, i) => firstSeed + i,
);
const options = {
  durationMs: Number(values.seconds) * 1_000,
  gateways: Number(values.gateways),
};
let failedRuns = 0;

/** Runs the remaining seeds one by one; each job takes the next seed. */
async function runRemainingSeeds(): Promise<void> {
  const seed = seeds.shift();
  if (seed === undefined) return;
  const result = await runSoak({seed, ...options});
  const {violations, requests, served, actions, folder} = result;
  const {sent, ended} = result.earlyReloads;
  const verdict =
    violations.length > 0 ? `FAILED, logs in ${folder}` : 'passed';
  process.stdout.write(
    `seed ${seed}: ${verdict}; ${actions} actions, ${served} of ${requests} requests served; ${describeAnswers(result.answers)}; ${Math.round(result.peakMemoryMb)} MB at most; ${sent} early SIGHUPs, ${ended} ended a process\n`,
  );
  violations.forEach(line => process.stdout.write(`  ${line}\n`));
  if (violations.length > 0) failedRuns += 1;
  await runRemainingSeeds();
}

async function runSeeds(): Promise<void> {
  const jobs = Array.from({length: Number(values.jobs)}, runRemainingSeeds);
  await Promise.all(jobs);
  process.stdout.write(`${failedRuns} runs violated an invariant\n`);
  process.exitCode = failedRuns > 0 ? 1 : 0;
}

/** Fails unless each planted fault is reported by its check, and by no other. */
async function runPlanted(): Promise<void> {
  const results = await runPlantedFaults(firstSeed);
  results.forEach(({fault, reported, others}) => {
    const verdict = reported > 0 && others.length === 0 ? 'reported' : 'FAILED';
    process.stdout.write(`${fault}: ${verdict}, ${reported} lines\n`);
    others.forEach(line => process.stdout.write(`  ${line}\n`));
    if (verdict === 'FAILED') process.exitCode = 1;
  });
}

void (values.planted ? runPlanted() : runSeeds());
