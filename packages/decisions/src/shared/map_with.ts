/** Returns a copy of a map with one key set. */
export function mapWith<Key, Value>(
  map: ReadonlyMap<Key, Value>,
  key: Key,
  value: Value,
): ReadonlyMap<Key, Value> {
  return new Map(map).set(key, value);
}
