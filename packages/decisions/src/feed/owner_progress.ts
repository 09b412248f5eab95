import type {FeedChange} from './feed_change.js';
import type {WorkSection} from './work_section.js';

/** Milliseconds that missing changes may still arrive before they are asked for. */
const CATCH_UP_MS = 500;

/** How far the changes of one other gateway are known here. */
interface OwnerProgress {
  /** Number of the newest change that was applied. */
  readonly newest: number;
  /** Number that the owner says to have sent. */
  readonly expected: number;
  /** True if changes before `newest` were lost. */
  readonly hasGap: boolean;
  /** Time since when changes are missing. */
  readonly behindSince?: number;
}

function isBehind({newest, expected, hasGap}: OwnerProgress): boolean {
  return hasGap || newest < expected;
}

function noteBehind(progress: OwnerProgress, now: number): OwnerProgress {
  const {behindSince = now} = progress;
  return {
    ...progress,
    behindSince: isBehind(progress) ? behindSince : undefined,
  };
}

/**
 * Orders the changes of one other gateway, which may arrive over several ways.
 * A change is applied only if no newer one was; what is lost thereby is asked
 * for. So an `end` that overtakes its `start` leaves no work behind.
 */
export const ownerProgress = {
  /** Progress after all work of the owner was received, up to a number. */
  complete(lastNumber: number): OwnerProgress {
    return {newest: lastNumber, expected: lastNumber, hasGap: false};
  },

  /** Progress of an owner of whose work nothing is known. */
  unknown(now: number): OwnerProgress {
    return {newest: 0, expected: 0, hasGap: true, behindSince: now};
  },

  /** Returns the changes of a section that are to be applied. */
  receive(
    progress: OwnerProgress,
    {lastNumber, changes}: Pick<WorkSection, 'lastNumber' | 'changes'>,
    now: number,
  ): readonly [OwnerProgress, readonly FeedChange[]] {
    const {newest} = progress;
    if (lastNumber <= newest) return [progress, []];
    const skipped = newest - (lastNumber - changes.length);
    const hasGap = progress.hasGap || skipped < 0;
    const next = noteBehind({...progress, newest: lastNumber, hasGap}, now);
    return [next, changes.slice(Math.max(0, skipped))];
  },

  /** Notes the number of the newest change that the owner has sent. */
  expect(progress: OwnerProgress, number: number, now: number): OwnerProgress {
    const expected = Math.max(progress.expected, number);
    return noteBehind({...progress, expected}, now);
  },

  /** True if changes have been missing for too long. */
  isOverdue({behindSince}: OwnerProgress, now: number): boolean {
    return behindSince !== undefined && now - behindSince >= CATCH_UP_MS;
  },

  /** Notes that the owner was asked for all of its work. */
  noteAsked(progress: OwnerProgress, now: number): OwnerProgress {
    return {...progress, behindSince: now};
  },
};
