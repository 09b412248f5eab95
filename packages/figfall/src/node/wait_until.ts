import {Effect, Schedule} from 'effect';

const CHECK_MS = 50;

/** Resolves once a condition holds, or after a time in milliseconds. */
export async function waitUntil(
  condition: () => boolean,
  timeoutMs: number,
): Promise<void> {
  const holds = Effect.repeat(Effect.sync(condition), {
    until: (value: boolean) => value,
    schedule: Schedule.spaced(CHECK_MS),
  });
  await Effect.runPromise(Effect.timeoutOption(holds, timeoutMs));
}
