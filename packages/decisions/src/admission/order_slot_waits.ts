import type {SlotWait} from './slot_wait.js';

/** Order within a level and a workspace: requests that came back go first. */
function compareArrivals(a: SlotWait, b: SlotWait): number {
  return (
    Number(b.isReturn) - Number(a.isReturn) ||
    a.arrivedAt - b.arrivedAt ||
    (a.workId < b.workId ? -1 : 1)
  );
}

function groupBy<Key>(
  waits: readonly SlotWait[],
  keyOf: (wait: SlotWait) => Key,
): ReadonlyMap<Key, SlotWait[]> {
  const groups = new Map<Key, SlotWait[]>();
  waits.forEach(wait => {
    const group = groups.get(keyOf(wait));
    if (group) group.push(wait);
    else groups.set(keyOf(wait), [wait]);
  });
  return groups;
}

/** Removes and returns the next request of the workspace that uses least. */
function takeNext(
  queues: Map<string, SlotWait[]>,
  used: Map<string, number>,
): SlotWait | undefined {
  const [first] = [...queues]
    .map(([workspace, queue]) => ({
      workspace,
      queue,
      use: used.get(workspace) ?? 0,
    }))
    .sort(
      (a, b) =>
        a.use - b.use ||
        (a.queue[0]?.arrivedAt ?? 0) - (b.queue[0]?.arrivedAt ?? 0),
    );
  if (!first) return undefined;
  const {workspace, queue, use} = first;
  used.set(workspace, use + 1);
  if (queue.length === 1) queues.delete(workspace);
  return queue.shift();
}

/**
 * Orders the requests that wait for the slots of one service, the same at all
 * gateways that know the same: by level, then by max-min fairness over
 * workspaces, then by arrival. `usage` is the work of each workspace that runs
 * or started recently; each request that goes first adds to it. Answers bursts
 * of which one workspace sends most.
 */
export function orderSlotWaits(
  waits: readonly SlotWait[],
  usage: ReadonlyMap<string, number>,
): readonly SlotWait[] {
  const used = new Map(usage);
  const levels = [...groupBy(waits, ({level}) => level)].sort(
    ([a], [b]) => a - b,
  );
  return levels.flatMap(([, ofLevel]) => {
    const queues = new Map(
      groupBy(ofLevel.toSorted(compareArrivals), ({workspace}) => workspace),
    );
    return ofLevel.flatMap(() => takeNext(queues, used) ?? []);
  });
}
