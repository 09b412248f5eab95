import {
  createFailure,
  eligibleServers,
  engineTime,
  fleetLoads,
  placePlain,
  placePrompt,
  serverHealths,
} from '@figfall/decisions';
import type {
  BackendServer,
  Candidate,
  Failure,
  PromptPlacement,
  RandomSource,
  ServerHealth,
  WorkChange,
  WorkItem,
} from '@figfall/decisions';
import {err, ok} from 'neverthrow';
import type {Result} from 'neverthrow';
import type {CallSpec} from '../calls/call_spec.js';

interface FleetOptions {
  /** Name of this entry, as owner of its work. */
  readonly owner: string;
  readonly zone: string;
  readonly random: RandomSource;
  readonly now: () => number;
  /** Tells other entries of this entry's work. */
  readonly announce: (change: WorkChange) => void;
}

/** What an entry believes of the backend servers. */
export class Fleet {
  private servers: readonly BackendServer[] = [];
  private byId: ReadonlyMap<string, BackendServer> = new Map();
  private zonesOut: ReadonlySet<string> = new Set();
  private load = fleetLoads.empty();
  private readonly health = new Map<string, ServerHealth>();

  constructor(private readonly options: FleetOptions) {}

  setServers(servers: readonly BackendServer[]): void {
    this.servers = servers;
    this.byId = new Map(servers.map(server => [server.id, server]));
    [...this.health.keys()]
      .filter(id => !this.byId.has(id))
      .forEach(id => this.health.delete(id));
  }

  setZonesOut(zones: ReadonlySet<string>): void {
    this.zonesOut = zones;
  }

  find(serverId: string): BackendServer | undefined {
    return this.byId.get(serverId);
  }

  /** Chooses backend servers for a request. */
  place(
    spec: CallSpec,
    exclude: readonly string[],
  ): Result<PromptPlacement, Failure> {
    const {servers, load, health, zonesOut} = this;
    const fleet = {servers, load, health, zonesOut};
    const candidates = eligibleServers(
      fleet,
      spec.service,
      exclude,
      this.options.now(),
    );
    const placement = this.choose(candidates, spec);
    if (placement) return ok(placement);
    return err(
      createFailure(
        'no-backend-server',
        `No backend server of ${spec.service.name} can take the request now.`,
      ),
    );
  }

  /** Load of a server as it is believed now, for logs. */
  loadOf(serverId: string) {
    return fleetLoads.of(this.load, serverId, this.options.now());
  }

  start(work: WorkItem): void {
    const {owner, now, announce} = this.options;
    this.load = fleetLoads.start(this.load, work, owner, now());
    announce({type: 'start', work});
  }

  prefilled(workId: string): void {
    this.load = fleetLoads.prefilled(this.load, workId);
    this.options.announce({type: 'prefilled', workId});
  }

  end(workId: string): void {
    this.load = fleetLoads.end(this.load, workId);
    this.options.announce({type: 'end', workId});
  }

  /** Changes that tell another entry of all of this entry's work. */
  ownWork(): readonly WorkChange[] {
    return fleetLoads.ownedBy(this.load, this.options.owner);
  }

  /** Takes in a change that another entry announced. */
  hear(change: WorkChange, owner: string): void {
    if (change.type === 'start') {
      const now = this.options.now();
      this.load = fleetLoads.start(this.load, change.work, owner, now);
      return;
    }
    this.load =
      change.type === 'end'
        ? fleetLoads.end(this.load, change.workId)
        : fleetLoads.prefilled(this.load, change.workId);
  }

  /** Forgets the work of an entry that is gone, and work that is too old. */
  forget(owner?: string): void {
    this.load = fleetLoads.forget(this.load, owner, this.options.now());
  }

  record(
    serverId: string,
    outcome: Parameters<typeof serverHealths.record>[1],
  ): void {
    const now = this.options.now();
    const health = this.health.get(serverId) ?? serverHealths.unknown(now);
    this.health.set(serverId, serverHealths.record(health, outcome, now));
  }

  private choose(
    candidates: readonly Candidate[],
    spec: CallSpec,
  ): PromptPlacement | undefined {
    const {zone, random} = this.options;
    const {prompt} = spec.req;
    const {engine} = spec.service;
    if (!engine || !prompt) {
      const chosen = placePlain(candidates, zone, random);
      return chosen
        ? {
            serverId: chosen.server.id,
            parts: [],
            prefillMs: 0,
            firstEventMs: 0,
          }
        : undefined;
    }
    const {targetMs, pauseMs} = spec.route;
    return placePrompt(candidates, {
      engine,
      ...prompt,
      targetMs: Math.max(targetMs, engineTime.passMs(engine, 0)),
      pauseMs,
      zone,
      random,
    });
  }
}
