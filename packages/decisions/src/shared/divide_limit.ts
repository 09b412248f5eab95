/**
 * Returns one member's share of an integer limit. The shares of all members add
 * up to the limit. A member that is not in the list has a share of 0.
 */
export function divideLimit(
  limit: number,
  memberIds: readonly string[],
  self: string,
): number {
  const rank = [...memberIds].sort().indexOf(self);
  if (rank < 0) return 0;
  const base = Math.floor(limit / memberIds.length);
  const remainder = limit - base * memberIds.length;
  return base + (rank < remainder ? 1 : 0);
}
