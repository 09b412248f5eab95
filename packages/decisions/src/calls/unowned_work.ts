/** Work that an engine holds and no call of its agent owns. */
interface UnownedWorkState {
  /** Identifiers seen without an owner, with the time of the first sight. */
  readonly firstSeen: ReadonlyMap<string, number>;
}

interface UnownedStep {
  readonly state: UnownedWorkState;
  /** Identifiers to cancel on the engine now. */
  readonly cancel: readonly string[];
}

/**
 * Finds sequences and blocks on an engine that no live owner claims, for
 * example after a restart of the agent. A grace time keeps work that has
 * just been dispatched, or just ended, out of it.
 */
export const unownedWork = {
  empty(): UnownedWorkState {
    return {firstSeen: new Map()};
  },

  step(
    state: UnownedWorkState,
    held: readonly string[],
    isOwned: (id: string) => boolean,
    graceMs: number,
    now: number,
  ): UnownedStep {
    const unowned = held.filter(id => !isOwned(id));
    const firstSeen = new Map(
      unowned.map(id => [id, state.firstSeen.get(id) ?? now]),
    );
    const cancel = unowned.filter(
      id => now - (firstSeen.get(id) ?? now) >= graceMs,
    );
    return {state: {firstSeen}, cancel};
  },
};
