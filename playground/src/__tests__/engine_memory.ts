import {waitFor} from '../deployment/wait_for.js';
import type {startFakeEngine} from '../engine/start_fake_engine.js';

type Engine = Awaited<ReturnType<typeof startFakeEngine>>;

/** Waits until no engine holds memory; throws where one keeps some. */
export async function engineMemoryIsFree(
  engines: readonly Engine[],
): Promise<void> {
  await waitFor('all engine memory is free again', () =>
    engines.every(engine => {
      const {freeTokens, totalTokens} = engine.load();
      return freeTokens === totalTokens;
    }),
  );
}
