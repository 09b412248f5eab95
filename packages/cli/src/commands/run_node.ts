import {runScoped} from '@figfall/task';
import type {Effect, Scope} from 'effect';
import {EXIT_CODE} from './exit_code.js';
import type {Output} from './output.js';

interface Drainable {
  /** Refuses new work and waits until running work has finished or timed out. */
  readonly drain: () => Promise<void>;
}

/**
 * Runs a node until SIGTERM or SIGINT, then drains and closes it. Prints the
 * description once the node has started.
 */
export async function runNode<Node extends Drainable>(
  effect: Effect.Effect<Node, Error, Scope.Scope>,
  describe: (node: Node) => string,
  {print, printError}: Output,
): Promise<number> {
  const stopSignal = new Promise<void>(resolve => {
    process.once('SIGTERM', resolve);
    process.once('SIGINT', resolve);
  });
  try {
    const node = await runScoped(effect);
    print(describe(node.value));
    await stopSignal;
    await node.value.drain();
    await node.close();
    return EXIT_CODE.SUCCESS;
  } catch (error) {
    printError(`figfall failed: ${(error as Error).message}`);
    return EXIT_CODE.FAILED;
  }
}
