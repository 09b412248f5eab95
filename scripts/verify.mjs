import {execFileSync, spawnSync} from 'node:child_process';
import {mkdirSync} from 'node:fs';
import {resolve} from 'node:path';

const MODELS = ['claim', 'config', 'scheduler', 'fence'];
const BUILD_DIR = resolve('spec/build');
const MEMORY_MB = 4_096;
const SEARCH_DEPTH_MAX = 1_000_000;

function hasSpin() {
  return spawnSync('spin', ['-V']).status === 0;
}

function installSpin() {
  process.stdout.write('installing spin and gcc\n');
  execFileSync('apt-get', ['update', '-qq'], {stdio: 'ignore'});
  execFileSync('apt-get', ['install', '-y', '-qq', 'spin', 'gcc'], {
    stdio: 'ignore',
  });
}

/**
 * Checks one model exhaustively with Spin. Returns the numbers of errors and of
 * stored states, and whether the whole state space was searched.
 */
function check(model, isMutant) {
  const cwd = `${BUILD_DIR}/${model}${isMutant ? '-mutant' : ''}`;
  mkdirSync(cwd, {recursive: true});
  const file = resolve(`spec/${model}.pml`);
  const defines = isMutant ? ['-DMUTANT'] : [];
  execFileSync('spin', ['-a', ...defines, file], {cwd, stdio: 'ignore'});
  execFileSync(
    'gcc',
    ['-O2', '-w', '-DSAFETY', `-DMEMLIM=${MEMORY_MB}`, '-o', 'pan', 'pan.c'],
    {cwd},
  );
  const {stdout} = spawnSync('./pan', [`-m${SEARCH_DEPTH_MAX}`], {
    cwd,
    encoding: 'utf8',
  });
  const errors = Number(/errors: (\d+)/.exec(stdout)?.[1] ?? NaN);
  const states = Number(/([\d.e+]+) states, stored/.exec(stdout)?.[1] ?? NaN);
  const isExhaustive = !/search depth too small|out of memory/i.test(stdout);
  return {errors, states, isExhaustive};
}

if (!hasSpin()) installSpin();
let failed = 0;
let passed = 0;
for (const model of MODELS) {
  const result = check(model, false);
  const mutant = check(model, true);
  const isVerified =
    result.errors === 0 && result.isExhaustive && mutant.errors > 0;
  if (isVerified) passed += 1;
  else failed += 1;
  process.stdout.write(
    `${isVerified ? 'ok  ' : 'FAIL'} spec/${model}.pml: ${result.states} states, ${result.errors} errors; mutant: ${mutant.errors > 0 ? 'rejected' : 'NOT rejected'}\n`,
  );
}
process.stdout.write(`models: ${passed} passed, ${failed} failed\n`);
process.exit(failed === 0 ? 0 : 1);
