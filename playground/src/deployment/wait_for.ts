import {sleep} from '../http/sleep.js';

const CHECK_INTERVAL_MS = 20;

/** Waits until a condition is true; throws an error on timeout. */
export async function waitFor(
  what: string,
  condition: () => boolean | Promise<boolean>,
  timeoutMs = 20_000,
): Promise<void> {
  const deadlineAt = Date.now() + timeoutMs;
  while (!(await condition())) {
    if (Date.now() > deadlineAt) throw new Error(`Timed out: ${what}`);
    await sleep(CHECK_INTERVAL_MS);
  }
}
