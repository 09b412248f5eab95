import {
  createFailure,
  eligibleServers,
  fleetLoads,
  passiveHealth,
} from '@figfall/decisions';
import type {
  BackendServer,
  Failure,
  PromptPlan,
  RandomSource,
  ServerHealth,
  WorkChange,
  WorkItem,
} from '@figfall/decisions';
import {err, ok} from 'neverthrow';
import type {Result} from 'neverthrow';
import type {CallSpec} from '../calls/call_spec.js';
import {countServers} from './count_servers.js';
import type {Placement} from './placement.js';
import {planRequest} from './plan_request.js';
import {SuspectList} from './suspect_list.js';

interface FleetOptions {
  /** Name of this entry, as owner of its work. */
  readonly owner: string;
  readonly zone: string;
  readonly random: RandomSource;
  readonly now: () => number;
  /** Learns of a server that is left out for a while, and why. */
  readonly onAvoided: (serverId: string, why: string, forMs: number) => void;
  /** Tells other entries of this entry's work. */
  readonly announce: (change: WorkChange) => void;
}

type Outcome = Parameters<typeof passiveHealth.record>[1];

/** What an entry believes of the backend servers. */
export class Fleet {
  private servers: readonly BackendServer[] = [];
  private byId: ReadonlyMap<string, BackendServer> = new Map();
  private zonesOut: ReadonlySet<string> = new Set();
  private load = fleetLoads.empty();
  private readonly health = new Map<string, ServerHealth>();
  /** Requests that may crash servers. */
  readonly suspects: SuspectList;

  constructor(private readonly options: FleetOptions) {
    const {now} = options;
    this.suspects = new SuspectList({
      now,
      change: change => this.change(change),
    });
  }

  setServers(servers: readonly BackendServer[]): void {
    this.servers = servers;
    this.byId = new Map(servers.map(server => [server.id, server]));
    [...this.health.keys()]
      .filter(id => !this.byId.has(id))
      .forEach(id => this.health.delete(id));
  }

  setEvacuatedZones(zones: ReadonlySet<string>): void {
    this.zonesOut = zones;
  }

  find(serverId: string): BackendServer | undefined {
    return this.byId.get(serverId);
  }

  /** Chooses backend servers for a request. */
  place(
    spec: CallSpec,
    exclude: readonly string[],
  ): Result<Placement, Failure> {
    const retryAfterMs = this.suspects.refusedMs(spec);
    if (retryAfterMs > 0) {
      const message = 'Several backend servers broke off with this request.';
      return err(createFailure('suspect-request', message, {retryAfterMs}));
    }
    const candidates = this.candidates(spec, exclude);
    const {zone, random, now} = this.options;
    const {requestId} = spec.req;
    const plan = planRequest(candidates, spec, {
      zone,
      random,
      now: now(),
      bestOtherRank: fleetLoads.lowestRank(this.load, requestId),
    });
    if (plan?.type === 'wait') {
      this.noteWait(requestId, plan.rank);
      return err(createFailure('not-ready', 'The prompt waits for servers.'));
    }
    this.endWait(requestId);
    if (plan?.type !== 'start') return err(this.refusal(spec, plan));
    this.suspects.tried(spec);
    return ok({...plan.placement, candidates: candidates.length});
  }

  private candidates(spec: CallSpec, exclude: readonly string[]) {
    const {servers, load, health, zonesOut, options} = this;
    const fleet = {servers, load, health, evacuatedZones: zonesOut};
    return eligibleServers(fleet, spec.service, exclude, options.now());
  }

  private refusal(
    spec: CallSpec,
    plan: Extract<PromptPlan, {readonly type: 'refuse'}> | undefined,
  ): Failure {
    if (plan) {
      const {reason, retryAfterMs} = plan;
      return createFailure('deadline-infeasible', reason, {retryAfterMs});
    }
    const message = `No backend server of ${spec.service.name} can take the request now. ${this.summary(spec)}`;
    return createFailure('no-backend-server', message);
  }

  /** Says how many servers a service has, for a message. */
  private summary({service}: CallSpec): string {
    const {health, zonesOut, options} = this;
    const servers = this.servers.filter(
      ({service: name}) => name === service.name,
    );
    const counts = countServers({servers, health, zonesOut}, options.now());
    return `Listed: ${servers.length}, ready: ${counts.ready}, in zones that are out: ${counts.zoneOut}, avoided: ${counts.avoided}.`;
  }

  /** Counts servers and prompts that wait, for metrics. */
  census() {
    const {servers, health, zonesOut, load, options} = this;
    return {
      ...countServers({servers, health, zonesOut}, options.now()),
      waiting: load.waiting.size,
      working: load.byServer.size,
    };
  }

  /** Forgets that a prompt waits. */
  endWait(requestId: string): void {
    if (this.load.waiting.has(requestId)) this.end(requestId);
  }

  private noteWait(workId: string, rank: number): void {
    if (this.load.waiting.get(workId)?.rank === rank) return;
    this.change({type: 'wait', workId, rank});
  }

  /** Load of a server as it is believed now. */
  loadOf(serverId: string) {
    return fleetLoads.serverLoad(this.load, serverId, this.options.now());
  }

  start(work: WorkItem): void {
    this.change({type: 'start', work});
  }

  prefilled(workId: string): void {
    this.change({type: 'prefilled', workId});
  }

  end(workId: string): void {
    this.change({type: 'end', workId});
  }

  /** Changes that tell another entry of all of this entry's work. */
  ownWork(): readonly WorkChange[] {
    return fleetLoads.changesOfOwner(this.load, this.options.owner);
  }

  /** Takes in a change that another entry announced. */
  applyRemoteChange(change: WorkChange, owner: string): void {
    this.load = this.apply(change, owner);
  }

  private apply(change: WorkChange, owner: string) {
    const now = this.options.now();
    switch (change.type) {
      case 'start':
        return fleetLoads.addWork(this.load, change.work, owner, now);
      case 'prefilled':
        return fleetLoads.markPrefilled(this.load, change.workId);
      case 'wait': {
        const {workId, rank} = change;
        return fleetLoads.addWaiting(this.load, workId, {owner, rank}, now);
      }
      case 'end':
        return fleetLoads.endWork(this.load, change.workId);
      case 'broke':
      case 'answered':
        this.suspects.hear(change);
        return this.load;
      case 'unreachable':
        this.noteOutcome(change.serverId, 'unreachable');
        return this.load;
    }
  }

  private change(change: WorkChange): void {
    const {owner, announce} = this.options;
    this.load = this.apply(change, owner);
    announce(change);
  }

  /** Forgets the work of an entry that is gone, and work that is too old. */
  prune(owner?: string): void {
    this.load = fleetLoads.removeStale(this.load, owner, this.options.now());
    this.suspects.forget();
  }

  /** Notes how an attempt at a server ended. */
  record(serverId: string, outcome: Outcome): void {
    if (outcome === 'unreachable') {
      return this.change({type: 'unreachable', serverId});
    }
    this.noteOutcome(serverId, outcome);
  }

  /** Notes that the server at an address can't be reached. */
  recordUnreachable(address: string): void {
    this.servers
      .filter(({host, port}) => `${host}:${port}` === address)
      .forEach(({id}) => this.record(id, 'unreachable'));
  }

  private noteOutcome(serverId: string, outcome: Outcome): void {
    const {now, onAvoided} = this.options;
    const at = now();
    const health = this.health.get(serverId) ?? passiveHealth.initial(at);
    const next = passiveHealth.record(health, outcome, at);
    this.health.set(serverId, next);
    if (next.avoidUntil > health.avoidUntil) {
      onAvoided(serverId, outcome, next.avoidUntil - at);
    }
  }
}
