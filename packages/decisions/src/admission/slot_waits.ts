import * as HashMap from 'effect/HashMap';
import type {WorkChange} from '../serving/work_change.js';
import type {SlotWait} from './slot_wait.js';

/** Milliseconds after which a wait without an end is removed. */
const WAIT_TTL_MS = 30_000;

/**
 * Rank of these waits for gateways of the former version, which let prompts
 * with lower ranks start first: after all prompts.
 */
const FORMER_VERSION_RANK = 1_000_000_000;

type SlotWaitsState = HashMap.HashMap<string, SlotWait>;

/** Short prompts and plain requests of all gateways that wait for slots. */
export const slotWaits = {
  empty(): SlotWaitsState {
    return HashMap.empty();
  },

  add(state: SlotWaitsState, wait: SlotWait): SlotWaitsState {
    return HashMap.set(state, wait.workId, wait);
  },

  size(state: SlotWaitsState): number {
    return HashMap.size(state);
  },

  has(state: SlotWaitsState, workId: string): boolean {
    return HashMap.has(state, workId);
  },

  remove(state: SlotWaitsState, workId: string): SlotWaitsState {
    return HashMap.remove(state, workId);
  },

  /** Removes the waits of `owner`, and those that are too old. */
  removeStale(
    state: SlotWaitsState,
    owner: string | undefined,
    now: number,
  ): SlotWaitsState {
    return HashMap.filter(
      state,
      wait => wait.owner !== owner && now - wait.arrivedAt <= WAIT_TTL_MS,
    );
  },

  /** Requests that wait for the slots of a service. */
  ofService(state: SlotWaitsState, service: string): readonly SlotWait[] {
    if (HashMap.size(state) === 0) return [];
    return [...HashMap.values(state)].filter(wait => wait.service === service);
  },

  /** Changes that reproduce the waits of a gateway. */
  changesOfOwner(
    state: SlotWaitsState,
    owner: string,
    now: number,
  ): readonly WorkChange[] {
    return [...HashMap.values(state)]
      .filter(wait => wait.owner === owner)
      .map(wait => slotWaits.toChange(wait, now));
  },

  /** Change that announces a wait. */
  toChange(
    {workId, level, workspace, service, isReturn, arrivedAt}: SlotWait,
    now: number,
  ): Extract<WorkChange, {readonly type: 'wait'}> {
    const slot = {service, isReturn, waitedMs: now - arrivedAt};
    const rank = FORMER_VERSION_RANK;
    return {type: 'wait', workId, rank, level, workspace, slot};
  },

  /** Wait that another gateway has announced; undefined if not for a slot. */
  fromChange(
    change: Extract<WorkChange, {readonly type: 'wait'}>,
    owner: string,
    now: number,
  ): SlotWait | undefined {
    const {workId, level = Infinity, workspace = '', slot} = change;
    if (!slot) return undefined;
    const {service, isReturn, waitedMs} = slot;
    const arrivedAt = now - waitedMs;
    return {workId, owner, service, level, workspace, isReturn, arrivedAt};
  },
};
