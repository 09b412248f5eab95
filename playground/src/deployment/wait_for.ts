import {sleep} from '../http/sleep.js';

const CHECK_MS = 20;

/** Waits until a condition holds; throws after a time in milliseconds. */
export async function waitFor(
  what: string,
  condition: () => boolean | Promise<boolean>,
  timeoutMs = 20_000,
): Promise<void> {
  const deadline = Date.now() + timeoutMs;
  while (!(await condition())) {
    if (Date.now() > deadline) throw new Error(`Timed out: ${what}`);
    await sleep(CHECK_MS);
  }
}
