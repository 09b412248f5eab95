import {Effect, Schedule} from 'effect';

/** Milliseconds between checks of the condition. */
const CHECK_INTERVAL_MS = 50;

/** Polls a condition; resolves once it is true or after `timeoutMs`. */
export async function waitUntil(
  condition: () => boolean,
  timeoutMs: number,
): Promise<void> {
  const poll = Effect.repeat(Effect.sync(condition), {
    until: (value: boolean) => value,
    schedule: Schedule.spaced(CHECK_INTERVAL_MS),
  });
  await Effect.runPromise(Effect.timeoutOption(poll, timeoutMs));
}
