import {waitFor} from '../deployment/wait_for.js';
import type {startFakeEngine} from '../engine/start_fake_engine.js';

type Engine = Awaited<ReturnType<typeof startFakeEngine>>;

/** Waits until all engines have freed all memory; throws after a timeout. */
export async function waitForFreeEngineMemory(
  engines: readonly Engine[],
): Promise<void> {
  await waitFor('all engine memory is free', () =>
    engines.every(engine => {
      const {freeTokens, totalTokens} = engine.load();
      return freeTokens === totalTokens;
    }),
  );
}
