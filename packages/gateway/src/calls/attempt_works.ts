import {promptWorth} from '@figfall/decisions';
import type {PromptPlacement, WorkItem} from '@figfall/decisions';
import type {Fleet} from '../core/fleet.js';
import type {CallSpec} from './call_spec.js';

function worksOf(
  {req, route}: CallSpec,
  placement: PromptPlacement,
  attemptId: string,
): readonly WorkItem[] {
  const {prompt} = req;
  const {helpers: parts, serverId, prefillMs} = placement;
  const reserved = parts.reduce((sum, part) => sum + part.reserveTokens, 0);
  const whole = prompt ? prompt.promptTokens + prompt.outputTokens : 0;
  const shared = {
    prefillMs,
    pauseMs: route.pauseMs,
    worth: promptWorth(prompt?.promptTokens ?? 0),
  };
  return [
    {
      ...shared,
      workId: attemptId,
      serverId,
      memoryTokens: whole - reserved,
      decodes: true,
    },
    ...parts.map(part => ({
      ...shared,
      workId: `${attemptId}@${part.serverId}`,
      serverId: part.serverId,
      memoryTokens: part.reserveTokens,
      decodes: false,
    })),
  ];
}

/** The work of one attempt on its backend servers, as entries know of it. */
export class AttemptWorks {
  private readonly ids = new Set<string>();
  private isPrefilled = false;

  constructor(
    private readonly fleet: Fleet,
    private readonly attemptId: string,
    spec: CallSpec,
    placement: PromptPlacement,
  ) {
    worksOf(spec, placement, attemptId).forEach(work => {
      fleet.start(work);
      this.ids.add(work.workId);
    });
  }

  /**
   * Notes that the prompt has been read, and returns whether that was news.
   * Parts are over then, unless they hold KV cache.
   */
  prefilled(holdsMemory: boolean): boolean {
    if (this.isPrefilled) return false;
    this.isPrefilled = true;
    this.fleet.prefilled(this.attemptId);
    [...this.ids]
      .filter(workId => workId !== this.attemptId)
      .forEach(workId =>
        holdsMemory ? this.fleet.prefilled(workId) : this.end(workId),
      );
    return true;
  }

  endAll(): void {
    [...this.ids].forEach(workId => this.end(workId));
  }

  private end(workId: string): void {
    this.ids.delete(workId);
    this.fleet.end(workId);
  }
}
