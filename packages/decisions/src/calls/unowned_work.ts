/** Work on an engine that no call or reservation of its agent owns. */
interface UnownedWorkState {
  /** Time in milliseconds at which each unowned id was first seen. */
  readonly firstSeen: ReadonlyMap<string, number>;
}

interface UnownedStep {
  readonly state: UnownedWorkState;
  /** Ids to cancel on the engine now. */
  readonly cancel: readonly string[];
}

/**
 * Finds sequences and blocks on an engine that have no live owner, for example
 * after a restart of the agent. A grace period excludes work that has just been
 * dispatched or has just ended.
 */
export const unownedWork = {
  empty(): UnownedWorkState {
    return {firstSeen: new Map()};
  },

  /**
   * Compares the ids that the engine holds with their owners and returns those
   * that have had no owner for `graceMs`.
   */
  step(
    state: UnownedWorkState,
    heldIds: readonly string[],
    isOwned: (id: string) => boolean,
    graceMs: number,
    now: number,
  ): UnownedStep {
    const unowned = heldIds.filter(id => !isOwned(id));
    const firstSeen = new Map(
      unowned.map(id => [id, state.firstSeen.get(id) ?? now]),
    );
    const cancel = unowned.filter(
      id => now - (firstSeen.get(id) ?? now) >= graceMs,
    );
    return {state: {firstSeen}, cancel};
  },
};
