import {appendFileSync, mkdtempSync, rmSync, writeFileSync} from 'node:fs';
import {tmpdir} from 'node:os';
import {join} from 'node:path';
import process from 'node:process';
import {setTimeout} from 'node:timers';

/** A case ends by itself well before it may run no longer. */
const LIMIT_MS = 116_000;

const EXIT_CODES = {held: 0, broken: 1, failed: 2};

/**
 * Runs a case and ends the process: with 1 if it found the rule broken, with 0 if
 * the rule held, with 2 if the case could not run. `play` gets a folder, whether
 * there is a disruption, what records a line, and what registers a clean-up. The
 * record is the file that the first argument of the process names (`record.txt`); each
 * line is written at once, so that it is there however the process ends.
 */
export async function runCase(play) {
  const folder = mkdtempSync(join(tmpdir(), 'figfall-review-'));
  const [, , recordPath = 'record.txt'] = process.argv;
  writeFileSync(recordPath, '');
  const cleanUps = [];
  const record = line => appendFileSync(recordPath, `${line}\n`);
  const hasTrouble = process.env.TROUBLE !== '0';
  let code = EXIT_CODES.failed;
  let isFinishing = false;
  const finish = async () => {
    if (isFinishing) return;
    isFinishing = true;
    for (const cleanUp of cleanUps.reverse()) await cleanUp();
    rmSync(folder, {recursive: true, force: true});
    record(`exit code ${code}`);
    process.exit(code);
  };
  setTimeout(() => {
    record('The case took too long.');
    void finish();
  }, LIMIT_MS).unref();
  process.on('uncaughtException', error => {
    record(`An error that nothing handled: ${error.stack}`);
    if (isFinishing) return;
    code = EXIT_CODES.failed;
    void finish();
  });
  ['SIGINT', 'SIGTERM'].forEach(signal =>
    process.once(signal, () => void finish()),
  );
  record(`disruption: ${hasTrouble ? 'yes' : 'no'}`);
  try {
    const onEnd = cleanUp => cleanUps.push(cleanUp);
    const isBroken = await play({folder, hasTrouble, record, onEnd});
    code = isBroken ? EXIT_CODES.broken : EXIT_CODES.held;
  } catch (error) {
    record(`The case could not run: ${error.stack}`);
  }
  await finish();
}
