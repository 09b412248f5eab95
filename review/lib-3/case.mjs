/** Runs one case: writes its record, ends what it started, sets the exit code. */
import {closeSync, openSync, writeSync} from 'node:fs';
import process from 'node:process';
import {clearTimeout, setTimeout} from 'node:timers';
import {URL, fileURLToPath} from 'node:url';

/** `run.sh` turns 10 into 1: Node.js ends with 1 by itself if it fails. */
const EXIT_CODES = {held: 0, broken: 10, failed: 2};

/** Longest time of a case; then it counts as not run. */
const LIMIT_MS = 115_000;

/**
 * Plays a case and writes its record, line by line, to the file that the first
 * argument names. `play` gets `record`, which notes a line, `cleanup`, which takes
 * functions to call at the end, and whether the disruption is on. It returns the
 * breaches of the rule, as lines.
 */
export async function runCase(url, play) {
  const startedAt = Date.now();
  const lines = [];
  const path = process.argv[2] ?? fileURLToPath(new URL('record.txt', url));
  const file = openSync(path, 'w');
  const cleanups = [];
  const hasTrouble = process.env.TROUBLE !== '0';
  const record = text => {
    const at = ((Date.now() - startedAt) / 1_000).toFixed(3);
    const line = `${at.padStart(8)} s  ${text}`;
    lines.push(line);
    writeSync(file, `${line}\n`);
  };
  const timer = setTimeout(() => {
    record('the case took too long');
    finish('failed').catch(() => process.exit(EXIT_CODES.failed));
  }, LIMIT_MS);
  const finish = async result => {
    clearTimeout(timer);
    for (const cleanup of cleanups.reverse()) await cleanup();
    record(`result: ${result}, disruption ${hasTrouble ? 'on' : 'off'}`);
    closeSync(file);
    process.stdout.write(`${lines.slice(-12).join('\n')}\n`);
    process.exit(EXIT_CODES[result]);
  };
  process.on('uncaughtException', error => {
    record(`could not run: ${error.stack}`);
    finish('failed').catch(() => process.exit(EXIT_CODES.failed));
  });
  ['SIGINT', 'SIGTERM'].forEach(signal =>
    process.on(signal, () => {
      record(`ended by ${signal}`);
      finish('failed').catch(() => process.exit(EXIT_CODES.failed));
    }),
  );
  try {
    const cleanup = action => cleanups.push(action);
    const breaches = await play({record, cleanup, hasTrouble});
    breaches.forEach(breach => record(`broken: ${breach}`));
    await finish(breaches.length > 0 ? 'broken' : 'held');
  } catch (error) {
    record(`could not run: ${error.stack}`);
    await finish('failed');
  }
}
