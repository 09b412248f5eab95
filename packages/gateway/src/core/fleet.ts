import {
  createFailure,
  eligibleServers,
  fleetLoad,
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
import {CrashSuspectList} from './crash_suspect_list.js';
import type {Placement} from './placement.js';
import {planRequest} from './plan_request.js';

interface FleetOptions {
  /** Unique id of this gateway's process, as owner of its work. */
  readonly owner: string;
  /** Availability zone of this gateway; its servers are preferred. */
  readonly zone: string;
  readonly random: RandomSource;
  readonly now: () => number;
  /** Called when a server will be avoided for `ms` milliseconds. */
  readonly onAvoided: (serverId: string, reason: string, ms: number) => void;
  /** Sends a change of this gateway's work to other gateways. */
  readonly announce: (change: WorkChange) => void;
}

type Outcome = Parameters<typeof passiveHealth.record>[1];

/** A gateway's view of the backend servers, their health and their load. */
export class Fleet {
  private servers: readonly BackendServer[] = [];
  private byId: ReadonlyMap<string, BackendServer> = new Map();
  private evacuatedZones: ReadonlySet<string> = new Set();
  private load = fleetLoad.empty();
  private readonly health = new Map<string, ServerHealth>();
  /** Requests that may crash backend servers. */
  readonly crashSuspects: CrashSuspectList;

  constructor(private readonly options: FleetOptions) {
    const {now} = options;
    this.crashSuspects = new CrashSuspectList({
      now,
      applyAndAnnounce: change => this.applyAndAnnounce(change),
    });
  }

  /** Replaces the list of servers and drops the health of unlisted ones. */
  setServers(servers: readonly BackendServer[]): void {
    this.servers = servers;
    this.byId = new Map(servers.map(server => [server.id, server]));
    [...this.health.keys()]
      .filter(id => !this.byId.has(id))
      .forEach(id => this.health.delete(id));
  }

  /** Sets the availability zones whose servers get no requests. */
  setEvacuatedZones(zones: ReadonlySet<string>): void {
    this.evacuatedZones = zones;
  }

  find(serverId: string): BackendServer | undefined {
    return this.byId.get(serverId);
  }

  /**
   * Chooses backend servers for a request and clears its wait. Fails with
   * `not-ready` while a prompt must wait for servers.
   */
  place(
    spec: CallSpec,
    exclude: readonly string[],
  ): Result<Placement, Failure> {
    const retryAfterMs = this.crashSuspects.refusedForMs(spec);
    if (retryAfterMs > 0) {
      const message =
        'Several backend servers failed while running this request.';
      return err(createFailure('suspect-request', message, {retryAfterMs}));
    }
    const candidates = this.candidates(spec, exclude);
    const {zone, random, now} = this.options;
    const {requestId} = spec.req;
    const plan = planRequest(candidates, spec, {
      zone,
      random,
      now: now(),
      lowestOtherRank: fleetLoad.lowestRank(this.load, requestId),
    });
    if (plan?.type === 'wait') {
      this.startWait(requestId, plan.rank);
      return err(createFailure('not-ready', 'The prompt waits for servers.'));
    }
    this.endWait(requestId);
    if (plan?.type !== 'start') return err(this.refusal(spec, plan));
    this.crashSuspects.recordTrial(spec);
    return ok({...plan.placement, candidates: candidates.length});
  }

  private candidates(spec: CallSpec, exclude: readonly string[]) {
    const {servers, load, health, evacuatedZones, options} = this;
    const fleet = {servers, load, health, evacuatedZones};
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
    const message = `No backend server of service ${spec.service.name} can take the request now. ${this.summary(spec)}`;
    return createFailure('no-backend-server', message);
  }

  /** Counts the servers of the request's service, for an error message. */
  private summary({service}: CallSpec): string {
    const {health, evacuatedZones, options} = this;
    const servers = this.servers.filter(
      ({service: name}) => name === service.name,
    );
    const counts = countServers(
      {servers, health, evacuatedZones},
      options.now(),
    );
    return `Listed: ${servers.length}, ready: ${counts.ready}, in evacuated zones: ${counts.zoneOut}, avoided: ${counts.avoided}.`;
  }

  /** Counts servers by state, and waiting prompts, for metrics. */
  counts() {
    const {servers, health, evacuatedZones, load, options} = this;
    return {
      ...countServers({servers, health, evacuatedZones}, options.now()),
      waiting: load.waiting.size,
      working: load.byServer.size,
    };
  }

  /** Ends a prompt's wait, if it waits. */
  endWait(requestId: string): void {
    if (this.load.waiting.has(requestId)) this.endWork(requestId);
  }

  private startWait(workId: string, rank: number): void {
    if (this.load.waiting.get(workId)?.rank === rank) return;
    this.applyAndAnnounce({type: 'wait', workId, rank});
  }

  /** Load of a server as far as gateways have announced it. */
  loadOf(serverId: string) {
    return fleetLoad.serverLoad(this.load, serverId, this.options.now());
  }

  /** Adds work that this gateway has sent to a server. */
  startWork(work: WorkItem): void {
    this.applyAndAnnounce({type: 'start', work});
  }

  /** Records that a server has prefilled its part of a prompt. */
  markPrefilled(workId: string): void {
    this.applyAndAnnounce({type: 'prefilled', workId});
  }

  /** Removes work that has ended. */
  endWork(workId: string): void {
    this.applyAndAnnounce({type: 'end', workId});
  }

  /** All work of this gateway, as changes for a newly linked gateway. */
  ownWork(): readonly WorkChange[] {
    return fleetLoad.changesOfOwner(this.load, this.options.owner);
  }

  /** Applies a change that another gateway announced. */
  applyRemoteChange(change: WorkChange, owner: string): void {
    this.load = this.apply(change, owner);
  }

  private apply(change: WorkChange, owner: string) {
    const now = this.options.now();
    switch (change.type) {
      case 'start':
        return fleetLoad.addWork(this.load, change.work, owner, now);
      case 'prefilled':
        return fleetLoad.markPrefilled(this.load, change.workId);
      case 'wait': {
        const {workId, rank} = change;
        return fleetLoad.addWaiting(this.load, workId, {owner, rank}, now);
      }
      case 'end':
        return fleetLoad.endWork(this.load, change.workId);
      case 'broke':
      case 'answered':
        this.crashSuspects.apply(change);
        return this.load;
      case 'unreachable':
        this.updateHealth(change.serverId, 'unreachable');
        return this.load;
    }
  }

  private applyAndAnnounce(change: WorkChange): void {
    const {owner, announce} = this.options;
    this.load = this.apply(change, owner);
    announce(change);
  }

  /** Removes expired work, and all work of a gateway that is gone. */
  prune(owner?: string): void {
    this.load = fleetLoad.removeStale(this.load, owner, this.options.now());
    this.crashSuspects.removeExpired();
  }

  /** Records how an attempt at a server ended. */
  recordOutcome(serverId: string, outcome: Outcome): void {
    if (outcome === 'unreachable') {
      return this.applyAndAnnounce({type: 'unreachable', serverId});
    }
    this.updateHealth(serverId, outcome);
  }

  /** Records that the server at an address (`host:port`) can't be reached. */
  recordUnreachable(address: string): void {
    this.servers
      .filter(({host, port}) => `${host}:${port}` === address)
      .forEach(({id}) => this.recordOutcome(id, 'unreachable'));
  }

  private updateHealth(serverId: string, outcome: Outcome): void {
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
