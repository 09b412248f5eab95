import {fleetLoad} from '@figfall/decisions';
import type {PromptPlan} from '@figfall/decisions';
import type {CallSpec} from '../calls/call_spec.js';
import type {FleetWork} from './fleet_work.js';
import type {PlaceOptions} from './place_options.js';

type WaitPlan = Extract<PromptPlan, {readonly type: 'wait'}>;

interface PromptWaitsOptions {
  readonly now: () => number;
  readonly work: FleetWork;
}

/** A plan to wait, and until when it may hold. */
interface Hold {
  /** It holds while a prompt waits whose rank is lower. */
  readonly rank: number;
  /** Monotonic time in milliseconds. */
  readonly until: number;
  /** Priority level that the plan was made for. */
  readonly level: number;
}

/**
 * Prompts of this gateway that wait for servers. A plan looks at all servers,
 * so a prompt that is behind another one is not planned at each evaluation.
 */
export class PromptWaits {
  private readonly holds = new Map<string, Hold>();

  constructor(private readonly options: PromptWaitsOptions) {}

  /** Lowest rank of the prompts that wait and may go before this one. */
  lowestOtherRank(
    {req, priority}: CallSpec,
    {lastEventAt}: PlaceOptions,
  ): number {
    const {load} = this.options.work;
    // A stream that has begun can't come back, so its level does not delay it.
    const hasBegun = lastEventAt !== undefined;
    return fleetLoad.lowestRank(
      load,
      req.requestId,
      hasBegun ? undefined : priority,
    );
  }

  /** True if another plan would let the prompt go on waiting, too. */
  isHeld(spec: CallSpec, options: PlaceOptions): boolean {
    if (options.isHedge || options.lastEventAt !== undefined) return false;
    const hold = this.holds.get(spec.req.requestId);
    if (!hold || this.options.now() >= hold.until) return false;
    if (hold.level !== spec.priority.level) return false;
    return this.lowestOtherRank(spec, options) < hold.rank;
  }

  /** Lets a prompt wait; a hedge of a running one waits for nothing. */
  start(
    {req, priority, workspace}: CallSpec,
    {rank, hold}: WaitPlan,
    {isHedge}: PlaceOptions,
  ): void {
    if (isHedge) return;
    const {now, work} = this.options;
    const {level} = priority;
    const until = now() + hold.ms;
    this.holds.set(req.requestId, {rank: hold.rank, until, level});
    work.startWait(req.requestId, {rank, level, workspace});
  }

  /** Ends the wait of a prompt, if it waits. */
  end(requestId: string): void {
    this.holds.delete(requestId);
    this.options.work.endWait(requestId);
  }
}
