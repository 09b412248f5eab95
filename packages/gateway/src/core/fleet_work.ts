import {fleetLoad} from '@figfall/decisions';
import type {
  BackendServer,
  SlotWait,
  WaitingPrompt,
  WorkChange,
  WorkItem,
} from '@figfall/decisions';
import {SlotWork} from './slot_work.js';

interface FleetWorkOptions {
  /** Unique id of this gateway's process, as owner of its work. */
  readonly owner: string;
  readonly now: () => number;
  /** Sends a change of this gateway's work to other gateways. */
  readonly announce: (change: WorkChange) => void;
}

/** A change of the work at servers, or of the prompts that wait for them. */
type LoadChange = Extract<
  WorkChange,
  {readonly type: 'start' | 'prefilled' | 'wait' | 'end'}
>;

function workIdOf(change: LoadChange): string {
  return change.type === 'start' ? change.work.workId : change.workId;
}

/** Work of all gateways at the backend servers, as far as it was announced. */
export class FleetWork {
  private state = fleetLoad.empty();
  /** Requests that wait for slots rather than for servers that prefill. */
  readonly slots: SlotWork;

  constructor(private readonly options: FleetWorkOptions) {
    this.slots = new SlotWork(options);
  }

  get load() {
    return this.state;
  }

  /** Applies a change that the gateway `owner` has announced. */
  apply(change: LoadChange, owner: string): void {
    const now = this.options.now();
    if (this.slots.apply(change, owner, this.state)) return;
    switch (change.type) {
      case 'start':
        this.state = fleetLoad.addWork(this.state, change.work, owner, now);
        return;
      case 'prefilled':
        this.state = fleetLoad.markPrefilled(this.state, change.workId);
        return;
      case 'wait': {
        const {type: _type, workId, ...prompt} = change;
        const waiting = {...prompt, owner};
        this.state = fleetLoad.addWaiting(this.state, workId, waiting, now);
        return;
      }
      case 'end':
        this.state = fleetLoad.endWork(this.state, change.workId, now);
    }
  }

  /**
   * Applies changes that tell of all work of the gateway `owner`. Work that is
   * known already keeps its times.
   */
  replace(changes: readonly LoadChange[], owner: string): void {
    const listed = new Set(changes.map(workIdOf));
    const known = fleetLoad
      .changesOfOwner(this.state, owner)
      .flatMap(change =>
        change.type === 'start' || change.type === 'wait'
          ? [workIdOf(change)]
          : [],
      );
    known
      .filter(workId => !listed.has(workId))
      .forEach(workId => this.apply({type: 'end', workId}, owner));
    changes
      .filter(
        change => change.type !== 'start' || !known.includes(workIdOf(change)),
      )
      .forEach(change => this.apply(change, owner));
  }

  /** Load of a server as far as gateways have announced it. */
  loadOf(serverId: string) {
    return fleetLoad.serverLoad(this.state, serverId, this.options.now());
  }

  /** Adds work that this gateway has sent to a server. */
  start(work: WorkItem): void {
    this.applyAndAnnounce({type: 'start', work});
  }

  /** Records that a server has prefilled its part of a prompt. */
  markPrefilled(workId: string): void {
    this.applyAndAnnounce({type: 'prefilled', workId});
  }

  /** Removes work that has ended. */
  end(workId: string): void {
    this.applyAndAnnounce({type: 'end', workId});
  }

  /** Lets a prompt of this gateway wait for servers. */
  startWait(
    workId: string,
    prompt: Pick<WaitingPrompt, 'rank' | 'level' | 'workspace'>,
  ): void {
    const known = this.state.waiting.get(workId);
    const isKnown = known?.rank === prompt.rank && known.level === prompt.level;
    if (isKnown) return;
    this.applyAndAnnounce({type: 'wait', workId, ...prompt});
  }

  /** Records that a server has rejected a request because it is full. */
  recordFull(server: BackendServer): void {
    this.slots.recordFull(server, this.state);
  }

  /** Lets a request of this gateway wait for a slot. */
  startSlotWait(wait: Omit<SlotWait, 'owner'>): void {
    this.applyAndAnnounce(this.slots.toChange(wait));
  }

  /** Ends a request's wait, if it waits. */
  endWait(requestId: string): void {
    if (this.slots.has(requestId)) this.end(requestId);
    if (this.state.waiting.has(requestId)) this.end(requestId);
  }

  /** Changes that tell a newly linked gateway of all work of this one. */
  changesForNewPeer(): readonly WorkChange[] {
    return [
      ...fleetLoad.changesOfOwner(this.state, this.options.owner),
      ...this.slots.changesForNewPeer(),
    ];
  }

  /** Removes expired work, and all work of a gateway that is gone. */
  prune(owner?: string): void {
    this.slots.prune(owner);
    this.state = fleetLoad.removeStale(this.state, owner, this.options.now());
  }

  private applyAndAnnounce(change: LoadChange): void {
    this.apply(change, this.options.owner);
    this.options.announce(change);
  }
}
