/** Milliseconds after which an unlinked member may be taken for gone. */
const MEMBER_EXPIRY_MS = 20_000;

/** Time at which each other member was last linked or first heard of, by id. */
type KnownMembers = ReadonlyMap<string, number>;

/**
 * The other members among which limits are divided. A member that can't be
 * reached may still be at work, behind a cut. So only a member that reaches more
 * than half of all, itself included, takes others for gone; a smaller part
 * keeps its divisor. The rates of all parts of a cut then add up to less than 1.5
 * times a limit, whatever permits each part has saved up besides.
 */
export const knownMembers = {
  /** Adds members that were heard of; known ones keep their time. */
  add(
    members: KnownMembers,
    ids: readonly string[],
    now: number,
  ): KnownMembers {
    const unknown = ids.filter(id => !members.has(id));
    if (unknown.length === 0) return members;
    return new Map([...members, ...unknown.map(id => [id, now] as const)]);
  },

  /** Notes the linked members, and removes those that are gone. */
  update(
    members: KnownMembers,
    linked: readonly string[],
    now: number,
  ): KnownMembers {
    const seen = linked.map(id => [id, now] as const);
    const all = new Map([...members, ...seen]);
    const hasMajority = new Set(linked).size + 1 > (all.size + 1) / 2;
    if (!hasMajority) return all;
    return new Map(
      [...all].filter(([, seenAt]) => now - seenAt <= MEMBER_EXPIRY_MS),
    );
  },

  /** Number of members, with the own one. */
  count(members: KnownMembers): number {
    return members.size + 1;
  },
};
