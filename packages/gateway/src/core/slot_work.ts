import {
  orderSlotWaits,
  runningWork,
  slotHistory,
  slotTimes,
  slotWaits,
  spareSlots,
} from '@figfall/decisions';
import type {
  BackendServer,
  Candidate,
  FleetLoadState,
  SlotWait,
  WorkChange,
} from '@figfall/decisions';

/** Milliseconds after the last rejection by a full server. */
const REJECTIONS_MS = 5_000;

/** Milliseconds for which the order of waiting requests is kept. */
const ORDER_MS = 20;

type LoadChange = Extract<
  WorkChange,
  {readonly type: 'start' | 'prefilled' | 'wait' | 'end'}
>;

interface Order {
  readonly waits: ReturnType<typeof slotWaits.empty>;
  readonly at: number;
  /** Position of each waiting request, 0 first. */
  readonly positions: ReadonlyMap<string, number>;
}

interface SlotWorkOptions {
  readonly owner: string;
  readonly now: () => number;
}

/** Requests of all gateways that wait for slots, and recent use of slots. */
export class SlotWork {
  private waits = slotWaits.empty();
  private history = slotHistory.empty();
  private readonly orders = new Map<string, Order>();
  private endCount = 0;
  private lastFullAt = -Infinity;

  constructor(private readonly options: SlotWorkOptions) {}

  /** Number of work items that have ended; a slot may have become free. */
  get ends(): number {
    return this.endCount;
  }

  /**
   * Applies a change before it is applied to `load`; true if it concerns only a
   * request that waits for a slot.
   */
  apply(change: LoadChange, owner: string, load: FleetLoadState): boolean {
    const now = this.options.now();
    if (change.type === 'start' && change.work.decodes) {
      this.history = slotHistory.recordStart(this.history, change.work, now);
    }
    if (change.type === 'wait') {
      const wait = slotWaits.fromChange(change, owner, now);
      if (wait) this.waits = slotWaits.add(this.waits, wait);
      return wait !== undefined;
    }
    if (change.type !== 'end') return false;
    if (this.has(change.workId)) {
      this.waits = slotWaits.remove(this.waits, change.workId);
      return true;
    }
    this.recordEnd(change.workId, load);
    return false;
  }

  private recordEnd(workId: string, load: FleetLoadState): void {
    this.endCount += 1;
    const work = runningWork.find(load, workId);
    // A prompt that was never prefilled was rejected or lost.
    const hasRun = work && (work.prefilled || work.prefillMs === 0);
    if (!hasRun || !work.decodes) return;
    const ms = this.options.now() - work.startedAt;
    const {serverId} = work;
    this.history = slotHistory.recordEnd(this.history, serverId, ms);
  }

  /** Number of requests that wait for slots. */
  get size(): number {
    return slotWaits.size(this.waits);
  }

  has(requestId: string): boolean {
    return slotWaits.has(this.waits, requestId);
  }

  /** Change that announces a wait of this gateway. */
  toChange(wait: Omit<SlotWait, 'owner'>): LoadChange {
    const {owner, now} = this.options;
    return slotWaits.toChange({...wait, owner}, now());
  }

  /** Changes that tell a newly linked gateway of all waits of this one. */
  changesForNewPeer(): readonly WorkChange[] {
    const {owner, now} = this.options;
    return slotWaits.changesOfOwner(this.waits, owner, now());
  }

  /** Removes old waits, and those of a gateway that is gone. */
  prune(owner?: string): void {
    const now = this.options.now();
    this.waits = slotWaits.removeStale(this.waits, owner, now);
  }

  /** Mean time in milliseconds for which servers' slots are taken, if known. */
  meanMs(serverIds: readonly string[]): number | undefined {
    return slotHistory.meanMs(this.history, serverIds);
  }

  /** Forgets the use of servers that are not listed. */
  retainHistory(listed: ReadonlyMap<string, BackendServer>): void {
    this.history = slotHistory.retain(this.history, listed);
  }

  /** Predicts when slots of the candidates become free. */
  times(
    candidates: readonly Candidate[],
    meanMs: number,
    load: FleetLoadState,
  ) {
    const now = this.options.now();
    const unknownEndsMs = (id: string) =>
      slotHistory.unknownEndsMs(this.history, id, meanMs, now);
    return slotTimes(load, candidates, {meanMs, unknownEndsMs}, now);
  }

  /** Records that a server has rejected a request because it is full. */
  recordFull({id, slots}: BackendServer, load: FleetLoadState): void {
    const counts = {
      capacity: slots + spareSlots(slots),
      running: runningWork.onServer(load, id).length,
    };
    const now = this.options.now();
    this.lastFullAt = now;
    this.history = slotHistory.recordFull(this.history, id, counts, now);
  }

  /** True if requests wait for a service, or servers have been full lately. */
  isContended(service: string): boolean {
    return (
      this.options.now() - this.lastFullAt < REJECTIONS_MS ||
      slotWaits.ofService(this.waits, service).length > 0
    );
  }

  /** Number of gateways with requests that wait for a service, at least 1. */
  waitingGateways(service: string): number {
    const waits = slotWaits.ofService(this.waits, service);
    return Math.max(1, new Set(waits.map(({owner}) => owner)).size);
  }

  /** Position of a request that waits for a service, as last worked out. */
  knownPosition(service: string, requestId: string): number {
    return this.orders.get(service)?.positions.get(requestId) ?? 0;
  }

  /** Requests that go before `wait`, which need not wait yet. */
  position(
    wait: Omit<SlotWait, 'owner'>,
    serverIds: readonly string[],
    load: FleetLoadState,
  ): number {
    const {service, workId} = wait;
    const known = this.orders.get(service);
    const isRecent =
      known?.waits === this.waits && this.options.now() - known.at < ORDER_MS;
    const position = isRecent ? known.positions.get(workId) : undefined;
    if (position !== undefined) return position;
    const {owner, now} = this.options;
    const others = slotWaits
      .ofService(this.waits, service)
      .filter(other => other.workId !== workId);
    if (others.length === 0) {
      this.orders.delete(service);
      return 0;
    }
    const usage = this.usage(new Set(serverIds), load);
    const ordered = orderSlotWaits([...others, {...wait, owner}], usage);
    const positions = new Map(ordered.map((other, i) => [other.workId, i]));
    this.orders.set(service, {waits: this.waits, at: now(), positions});
    return positions.get(workId) ?? 0;
  }

  /** Requests of each workspace that run on servers or started recently. */
  private usage(
    serverIds: ReadonlySet<string>,
    load: FleetLoadState,
  ): ReadonlyMap<string, number> {
    const now = this.options.now();
    const usage = new Map(
      slotHistory.startsByWorkspace(this.history, serverIds, now),
    );
    [...serverIds]
      .flatMap(id => runningWork.onServer(load, id))
      .forEach(({workspace = ''}) =>
        usage.set(workspace, (usage.get(workspace) ?? 0) + 1),
      );
    return usage;
  }
}
