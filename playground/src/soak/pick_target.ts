/** The item at an index, modulo the number of items; throws if there is none. */
export function pickTarget<Item>(items: readonly Item[], index: number): Item {
  const item = items[index % items.length];
  if (item === undefined) throw new Error('There is nothing to disturb.');
  return item;
}
