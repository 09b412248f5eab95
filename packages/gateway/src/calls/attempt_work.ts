import {levelWeight, promptWorth} from '@figfall/decisions';
import type {PromptPlacement, WorkItem} from '@figfall/decisions';
import type {Fleet} from '../core/fleet.js';
import type {CallSpec} from './call_spec.js';

function workItemsOf(
  {req, route, routeLevel, workspace}: CallSpec,
  placement: PromptPlacement,
  attemptId: string,
): readonly WorkItem[] {
  const {prompt} = req;
  const {helpers, serverId, prefillMs} = placement;
  const reserved = helpers.reduce(
    (sum, helper) => sum + helper.reservedTokens,
    0,
  );
  const totalTokens = prompt ? prompt.promptTokens + prompt.outputTokens : 0;
  const shared = {
    prefillMs,
    pauseMs: route.pauseMs,
    worth: promptWorth(prompt?.promptTokens ?? 0) * levelWeight(routeLevel),
    level: routeLevel.level,
    workspace,
  };
  return [
    {
      ...shared,
      workId: attemptId,
      serverId,
      memoryTokens: totalTokens - reserved,
      decodes: true,
    },
    ...helpers.map(helper => ({
      ...shared,
      workId: `${attemptId}@${helper.serverId}`,
      serverId: helper.serverId,
      memoryTokens: helper.reservedTokens,
      decodes: false,
    })),
  ];
}

/**
 * Work of one attempt on its backend servers, as counted in the fleet's load
 * and announced to other gateways.
 */
export class AttemptWork {
  private readonly ids = new Set<string>();
  private isPrefilled = false;

  constructor(
    private readonly fleet: Fleet,
    private readonly attemptId: string,
    spec: CallSpec,
    placement: PromptPlacement,
  ) {
    workItemsOf(spec, placement, attemptId).forEach(work => {
      fleet.work.start(work);
      this.ids.add(work.workId);
    });
  }

  /**
   * Records that the prompt is prefilled; false where that was known. The
   * helpers' work ends with it unless they hold KV cache for the attempt.
   */
  markPrefilled(helpersHoldMemory: boolean): boolean {
    if (this.isPrefilled) return false;
    this.isPrefilled = true;
    this.fleet.work.markPrefilled(this.attemptId);
    [...this.ids]
      .filter(workId => workId !== this.attemptId)
      .forEach(workId =>
        helpersHoldMemory
          ? this.fleet.work.markPrefilled(workId)
          : this.end(workId),
      );
    return true;
  }

  /** True once the prompt is known to be prefilled. */
  hasPrefilled(): boolean {
    return this.isPrefilled;
  }

  endAll(): void {
    [...this.ids].forEach(workId => this.end(workId));
  }

  private end(workId: string): void {
    this.ids.delete(workId);
    this.fleet.work.end(workId);
  }
}
