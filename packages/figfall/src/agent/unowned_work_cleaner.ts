import {unownedWork} from '@figfall/decisions';
import type {ModelEngineClient} from '@figfall/model-engine';
import type {Logger} from '@figfall/observability';
import {AGENT} from './agent_constants.js';

interface UnownedWorkCleanerOptions {
  readonly logger: Logger;
  readonly engineClient: ModelEngineClient;
  /** True if a running call or a reservation of this agent owns the work. */
  readonly isOwned: (id: string) => boolean;
}

/** Cancels engine work that no call or reservation of the agent owns. */
export class UnownedWorkCleaner {
  private state = unownedWork.empty();

  constructor(private readonly options: UnownedWorkCleanerOptions) {}

  /**
   * Cancels unowned work among the ids that the engine holds, once the grace
   * period has passed.
   */
  cancelUnowned(heldIds: readonly string[]): void {
    const {logger, engineClient, isOwned} = this.options;
    const step = unownedWork.step(
      this.state,
      heldIds,
      isOwned,
      AGENT.UNOWNED_WORK_GRACE_MS,
      Date.now(),
    );
    this.state = step.state;
    step.cancel.forEach(callId => {
      logger.info('cancelled unowned engine work', {callId});
      void engineClient.cancel(callId);
    });
  }
}
