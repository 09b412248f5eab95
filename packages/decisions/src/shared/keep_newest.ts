/** Returns a map with no more than `max` entries, those set first left out. */
export function keepNewest<Key, Value>(
  map: ReadonlyMap<Key, Value>,
  max: number,
): ReadonlyMap<Key, Value> {
  return map.size <= max ? map : new Map([...map].slice(map.size - max));
}
