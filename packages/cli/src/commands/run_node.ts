import {runScoped} from '@figfall/task';
import type {Effect, Scope} from 'effect';
import {EXIT_CODE} from './exit_code.js';
import type {Output} from './output.js';

interface Drainable {
  readonly drain: () => Promise<void>;
}

/** Runs a node until SIGTERM or SIGINT, then shuts it down gracefully. */
export async function runNode<Node extends Drainable>(
  effect: Effect.Effect<Node, Error, Scope.Scope>,
  describe: (node: Node) => string,
  {print, complain}: Output,
): Promise<number> {
  const signalled = new Promise<void>(resolve => {
    process.once('SIGTERM', resolve);
    process.once('SIGINT', resolve);
  });
  try {
    const running = await runScoped(effect);
    print(describe(running.value));
    await signalled;
    await running.value.drain();
    await running.close();
    return EXIT_CODE.DONE;
  } catch (error) {
    complain(`figfall could not start: ${(error as Error).message}`);
    return EXIT_CODE.FAILED;
  }
}
