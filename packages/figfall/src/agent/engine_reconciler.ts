import {unownedWork} from '@figfall/decisions';
import type {ModelEngineClient} from '@figfall/model-engine';
import type {Logger} from '@figfall/observability';
import {AGENT} from './agent_constants.js';

interface EngineReconcilerOptions {
  readonly logger: Logger;
  readonly engine: ModelEngineClient;
  /** True where a call or a reservation of this agent owns the work. */
  readonly isOwned: (id: string) => boolean;
}

/** Frees what an engine holds for calls that no longer exist. */
export class EngineReconciler {
  private unowned = unownedWork.empty();

  constructor(private readonly options: EngineReconcilerOptions) {}

  /** Takes what the engine says it holds. */
  review(held: readonly string[]): void {
    const {logger, engine, isOwned} = this.options;
    const step = unownedWork.step(
      this.unowned,
      held,
      isOwned,
      AGENT.UNOWNED_GRACE_MS,
      Date.now(),
    );
    this.unowned = step.state;
    step.cancel.forEach(callId => {
      logger.info('freed unowned work', {callId});
      void engine.cancel(callId);
    });
  }
}
