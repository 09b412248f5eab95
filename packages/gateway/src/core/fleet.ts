import {createFailure, eligibleServers, fleetLoad} from '@figfall/decisions';
import type {
  BackendServer,
  Candidate,
  Failure,
  ServerNotice,
  WorkChange,
} from '@figfall/decisions';
import {err, ok} from 'neverthrow';
import type {Result} from 'neverthrow';
import type {CallSpec} from '../calls/call_spec.js';
import {applyChange} from './apply_change.js';
import {countServers} from './count_servers.js';
import {describeRefusal} from './describe_refusal.js';
import type {FleetOptions} from './fleet_options.js';
import type {FleetView} from './fleet_view.js';
import {FleetWork} from './fleet_work.js';
import {FleetZones} from './fleet_zones.js';
import type {PlaceOptions} from './place_options.js';
import type {Placement} from './placement.js';
import {mayBeSentTo} from './may_be_sent_to.js';
import {mayUseLimited} from './may_use_limited.js';
import {planRequest} from './plan_request.js';
import {PromptWaits} from './prompt_waits.js';
import {LimitWaits} from './limit_waits.js';
import {RateLimits} from './rate_limits.js';
import {ServerPaces} from './server_paces.js';
import {ServerObservations} from './server_observations.js';
import {SlotAdmission} from './slot_admission.js';
import {Suspects} from './suspects.js';

type Outcome = Parameters<ServerObservations['recordOutcome']>[1];

/** Message of the failure of a prompt that waits. */
const WAITS = 'The prompt waits for servers.';

/** A gateway's view of the backend servers, their health and their load. */
export class Fleet {
  private servers: readonly BackendServer[] = [];
  private byId: ReadonlyMap<string, BackendServer> = new Map();
  private evacuatedZones: ReadonlySet<string> = new Set();
  private readonly observations: ServerObservations;
  /** Work of all gateways at the servers. */
  readonly work: FleetWork;
  /** Request rates that servers have named. */
  readonly limits: RateLimits;
  private readonly limitWaits: LimitWaits;
  private readonly slotAdmission: SlotAdmission;
  private readonly promptWaits: PromptWaits;
  /** Speeds of the servers, as observed. */
  readonly paces: ServerPaces;
  /** What is known of availability zones. */
  readonly zones: FleetZones;
  /** Requests and prompts that may crash backend servers. */
  readonly suspects: Suspects;

  constructor(private readonly options: FleetOptions) {
    this.observations = new ServerObservations(options);
    this.work = new FleetWork(options);
    this.promptWaits = new PromptWaits({now: options.now, work: this.work});
    this.paces = new ServerPaces(options);
    this.zones = new FleetZones({
      ...options,
      work: this.work,
      find: serverId => this.find(serverId),
    });
    this.limits = new RateLimits({
      ...options,
      find: serverId => this.find(serverId),
    });
    this.limitWaits = new LimitWaits({...options, limits: this.limits});
    this.slotAdmission = new SlotAdmission({...options, work: this.work});
    this.suspects = new Suspects({
      ...options,
      applyAndAnnounce: change => this.applyAndAnnounce(change),
    });
  }

  /** Replaces the list of servers and drops the health of unlisted ones. */
  setServers(servers: readonly BackendServer[]): void {
    this.servers = servers;
    this.byId = new Map(servers.map(server => [server.id, server]));
    this.observations.retainHealth(this.byId);
    this.work.slots.retainHistory(this.byId);
    this.paces.retain(this.byId);
    servers
      .filter(({state}) => state === 'draining')
      .forEach(server => this.observations.recordLeaving(server));
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
   * `not-ready` while the request must wait for servers or their permits.
   */
  place(spec: CallSpec, options: PlaceOptions): Result<Placement, Failure> {
    const hasBegun = options.lastEventAt !== undefined;
    const refusal = this.suspects.refusal(spec, hasBegun);
    if (refusal) return err(refusal);
    const held =
      this.limitWaits.stillHeld(spec) ?? this.slotAdmission.stillHeld(spec);
    if (held) return err(held);
    const isHeld = this.promptWaits.isHeld(spec, options);
    if (isHeld) return err(createFailure('not-ready', WAITS));
    const all = this.candidates(spec, options.exclude);
    const delay = this.limitWaits.delay(spec, all, options);
    if (delay) return err(delay);
    const candidates = all.filter(mayBeSentTo);
    const queued = this.slotAdmission.delay(spec, candidates, options);
    if (queued) return err(queued);
    const planned = this.plan(spec, candidates, options);
    const plan = planned?.plan;
    if (mayUseLimited(spec, plan)) this.limits.wantForLater(all);
    const {requestId} = spec.req;
    if (plan?.type === 'wait') {
      this.promptWaits.start(spec, plan, options);
      return err(createFailure('not-ready', WAITS));
    }
    this.promptWaits.end(requestId);
    if (plan?.type === 'refuse') {
      const {reason, retryAfterMs: delayMs} = plan;
      const details = {retryAfterMs: delayMs};
      return err(createFailure('deadline-infeasible', reason, details));
    }
    if (!plan) {
      const {name} = spec.service;
      return err(describeRefusal(this.view(), name, this.options.now()));
    }
    this.suspects.recordTrial(spec, hasBegun);
    this.limitWaits.serve(spec);
    return ok({
      ...plan.placement,
      ...this.zones.describe(plan.placement.serverId, planned?.zone),
      candidates: candidates.length,
      heldBack: this.limits.describe(all.filter(other => !mayBeSentTo(other))),
    });
  }

  private plan(
    spec: CallSpec,
    candidates: readonly Candidate[],
    options: PlaceOptions,
  ) {
    const {zone, random, now} = this.options;
    return planRequest(candidates, spec, {
      zone,
      random,
      now: now(),
      lastEventAt: options.lastEventAt,
      lowestOtherRank: this.promptWaits.lowestOtherRank(spec, options),
      demand: fleetLoad.demand(this.work.load, candidates.length, now()),
      ...this.zones.planContext(candidates),
    });
  }

  private candidates(spec: CallSpec, exclude: readonly string[]) {
    const rateLimitOf = (id: string) => this.limits.candidateLimit(id);
    const paceOf = (id: string) => this.paces.factor(id);
    const fleet = {...this.view(), load: this.work.load, rateLimitOf, paceOf};
    return eligibleServers(fleet, spec.service, exclude, this.options.now());
  }

  private view(): FleetView {
    const {servers, evacuatedZones, observations} = this;
    const {health, notices} = observations;
    return {servers, health, notices, evacuatedZones};
  }

  /** Ends the wait of a request that has ended, if it waits. */
  endWait(requestId: string): void {
    this.promptWaits.end(requestId);
    this.limitWaits.leave(requestId);
    this.slotAdmission.leave(requestId);
  }

  /** Counts servers by state, and waiting prompts, for metrics. */
  counts() {
    const {load} = this.work;
    return {
      ...countServers(this.view(), this.options.now()),
      waiting: load.waiting.size,
      working: fleetLoad.busyServers(load),
      blocked: this.suspects.blockedCounts(),
      forgottenSuspects: this.suspects.forgottenCounts(),
    };
  }

  /**
   * What a newly linked gateway should know: all work of this gateway, the
   * servers known to leave, and the requests and parts that are blocked.
   */
  changesForNewPeer(): readonly WorkChange[] {
    return [
      ...this.observations.leavingChanges(),
      ...this.limits.book.changesForNewPeer(),
      ...this.suspects.changesForNewPeer(),
      ...this.work.changesForNewPeer(),
    ];
  }

  /** Applies a change that another gateway announced. */
  applyRemoteChange(change: WorkChange, owner: string): void {
    const {work, observations, paces, limits, suspects} = this;
    const targets = {work, observations, paces, limits, suspects};
    applyChange(targets, change, owner);
  }

  private applyAndAnnounce(change: WorkChange): void {
    const {owner, announce} = this.options;
    this.applyRemoteChange(change, owner);
    announce(change);
  }

  /** Removes expired work, and all work of a gateway that is gone. */
  prune(owner?: string): void {
    this.work.prune(owner);
    this.suspects.removeExpired();
    this.observations.removeExpired();
    this.limits.removeExpired();
  }

  /** Records how an attempt at a server ended. */
  recordOutcome(serverId: string, outcome: Outcome): void {
    if (outcome === 'unreachable') {
      return this.applyAndAnnounce({type: 'unreachable', serverId});
    }
    this.observations.recordOutcome(serverId, outcome);
  }

  /** Records what a response said of the server that sent it. */
  recordNotice(
    {id, processStartedAt}: BackendServer,
    {isLeaving, pauseMs, rateLimit, askedAt}: ServerNotice,
  ): void {
    this.limits.book.record({id, processStartedAt}, rateLimit, askedAt);
    if (pauseMs > 0) this.observations.recordPause(id, pauseMs);
    const server = {id, processStartedAt};
    if (!isLeaving || !this.observations.recordLeaving(server)) return;
    const {announce} = this.options;
    announce({type: 'leaving', serverId: id, processStartedAt});
  }

  /** True if a server takes new requests from this gateway. */
  isOpen(server: BackendServer): boolean {
    return this.observations.isOpen(server);
  }

  /** Records that the server at an address (`host:port`) can't be reached. */
  recordUnreachable(address: string): void {
    this.servers
      .filter(({host, port}) => `${host}:${port}` === address)
      .forEach(({id}) => this.recordOutcome(id, 'unreachable'));
  }
}
