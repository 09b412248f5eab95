/** Returns a map with the last `max` entries in order of insertion. */
export function keepNewest<Key, Value>(
  map: ReadonlyMap<Key, Value>,
  max: number,
): ReadonlyMap<Key, Value> {
  return map.size <= max ? map : new Map([...map].slice(map.size - max));
}
