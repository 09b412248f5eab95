import type {Candidate} from '../serving/candidate.js';
import type {FleetLoadState} from '../serving/fleet_load_state.js';
import {runningWork} from './running_work.js';
import {spareSlots} from './spare_slots.js';

/** Least share of the mean duration that a request is expected to run on. */
const LEFT_SHARE_MIN = 0.1;

interface SlotTimes {
  /** Slots that are free now. */
  readonly free: number;
  /** Requests that may be sent ahead to servers whose slots are all taken. */
  readonly spare: number;
  /** Milliseconds until each slot becomes free, in ascending order. */
  readonly untilFreeMs: readonly number[];
}

interface SlotTimesOptions {
  /** Milliseconds for which a request takes a slot. */
  readonly meanMs: number;
  /** Milliseconds until the requests end that no gateway has announced. */
  readonly unknownEndsMs: (serverId: string) => readonly number[];
}

/**
 * Predicts when the slots of servers become free from the requests that run
 * there.
 */
export function slotTimes(
  load: FleetLoadState,
  candidates: readonly Candidate[],
  {meanMs, unknownEndsMs}: SlotTimesOptions,
  now: number,
): SlotTimes {
  const servers = candidates.map(({server: {id, slots}}) => {
    const untilEndMs = runningWork
      .onServer(load, id)
      .map(({startedAt}) => meanMs - (now - startedAt))
      .map(ms => Math.max(meanMs * LEFT_SHARE_MIN, ms))
      .concat(unknownEndsMs(id))
      .sort((a, b) => a - b);
    const free = Math.max(0, slots - untilEndMs.length);
    const beyond = Math.max(0, untilEndMs.length - slots);
    return {
      free,
      spare: Math.max(0, spareSlots(slots) - beyond),
      untilFreeMs: [
        ...Array.from({length: free}, () => 0),
        ...untilEndMs.slice(beyond),
      ],
    };
  });
  return {
    free: servers.reduce((sum, {free}) => sum + free, 0),
    spare: servers.reduce((sum, {spare}) => sum + spare, 0),
    untilFreeMs: servers
      .flatMap(({untilFreeMs}) => untilFreeMs)
      .sort((a, b) => a - b),
  };
}
