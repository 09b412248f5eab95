/**
 * Returns a copy of a map with an entry as its newest one. Above `max` entries,
 * those that were set longest ago are dropped.
 */
export function withNewest<Key, Value>(
  map: ReadonlyMap<Key, Value>,
  key: Key,
  value: Value,
  max: number,
): ReadonlyMap<Key, Value> {
  const others = [...map].filter(([other]) => other !== key);
  return new Map([...others, [key, value] as const].slice(-max));
}
