/** Returns a copy of a map without one key, or the same map if it lacks it. */
export function mapWithout<Key, Value>(
  map: ReadonlyMap<Key, Value>,
  key: Key,
): ReadonlyMap<Key, Value> {
  if (!map.has(key)) return map;
  const copy = new Map(map);
  copy.delete(key);
  return copy;
}
