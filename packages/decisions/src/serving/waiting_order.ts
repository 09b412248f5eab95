import type {PriorityLevel} from './priority_level.js';
import type {WaitingPrompt} from './waiting_prompt.js';

/** Starts of more urgent prompts after which a less urgent one goes first. */
const PASSED_OVER_MAX = 9;

type Waiting = ReadonlyMap<string, WaitingPrompt>;

/** Level of a prompt; the least urgent one where it is unknown. */
function levelOf({level}: WaitingPrompt): number {
  return level ?? Infinity;
}

/** True if less urgent prompts wait than the one whose wait has ended. */
function isPassingOver(ended: WaitingPrompt, others: Waiting): boolean {
  return [...others.values()].some(other => levelOf(other) > levelOf(ended));
}

/** Order in which queued prompts of several priority levels start. */
export const waitingOrder = {
  /** Counts the waits that ended in a row before those of less urgent prompts. */
  countPassedOver(
    count: number,
    ended: WaitingPrompt,
    others: Waiting,
  ): number {
    return isPassingOver(ended, others) ? count + 1 : 0;
  },

  /**
   * Lowest rank of the queued prompts that compete with `workId`: -Infinity if
   * one goes first whatever its rank, Infinity if none does. Levels go first by
   * urgency. An overdue prompt goes before more urgent ones that came later,
   * and the most urgent level that waits goes last once it has passed over
   * others too often. Ranks alone count where `priority` has one level.
   */
  lowestRank(
    waiting: Waiting,
    passedOver: number,
    workId: string,
    {level, levels}: PriorityLevel = {level: 0, levels: 1},
  ): number {
    const others = [...waiting].filter(([id]) => id !== workId);
    if (levels === 1) return Math.min(...others.map(([, {rank}]) => rank));
    const own = waiting.get(workId);
    const effective = (prompt: WaitingPrompt) =>
      Math.min(levelOf(prompt), levels - 1);
    const first = Math.min(
      level,
      ...others.map(([, prompt]) => effective(prompt)),
    );
    const hasTurn = passedOver >= PASSED_OVER_MAX;
    const order = (one: number) => (hasTurn && one === first ? levels : one);
    const rankOf = (other: WaitingPrompt): number => {
      const theirs = effective(other);
      if (theirs === level) return other.rank;
      const isEarlier = other.since < (own?.since ?? Infinity);
      if (theirs > level && other.rank < 0 && isEarlier) return -Infinity;
      const isOwnOverdue = own !== undefined && own.rank < 0;
      if (theirs < level && isOwnOverdue && !isEarlier) return Infinity;
      return order(theirs) < order(level) ? -Infinity : Infinity;
    };
    return Math.min(...others.map(([, other]) => rankOf(other)));
  },
};
