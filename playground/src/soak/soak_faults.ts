import type {SoakAction} from './soak_action.js';
import type {SoakEvidence} from './soak_evidence.js';
import type {startSoakWorld} from './soak_world.js';
import {SOAK_ZONES} from './soak_zones.js';

type World = Awaited<ReturnType<typeof startSoakWorld>>;
type Gateway = World['gateways'][number];
type Server = World['servers'][number];
type Mutable<Item> = Item[];

interface SoakFaultsOptions {
  readonly world: World;
  readonly now: () => number;
}

type Handlers = {
  readonly [Type in SoakAction['type']]: (
    action: SoakAction & {readonly type: Type},
  ) => void;
};

/** Milliseconds after its crash at which the store drops a server's entry. */
const LAPSE_MS = 2_000;

/** Plays the actions of a run on its deployment, and notes what they were. */
export class SoakFaults {
  readonly leaves: Mutable<SoakEvidence['leaves'][number]> = [];
  readonly disturbed: Mutable<SoakEvidence['disturbed'][number]> = [];
  readonly stops: Mutable<SoakEvidence['stops'][number]> = [];
  private readonly stopping = new Set<Gateway>();
  private readonly timers = new Set<NodeJS.Timeout>();

  constructor(private readonly options: SoakFaultsOptions) {}

  play(action: SoakAction): void {
    const handler = this.handlers[action.type] as (action: SoakAction) => void;
    handler(action);
  }

  /** Ends all that still lasts and starts what is down. */
  async heal(): Promise<void> {
    this.timers.forEach(timer => clearTimeout(timer));
    const {gateways, servers, store, config, configure} = this.options.world;
    store.setFault('none');
    gateways.forEach(({process, storeRelay}) => {
      process.signal('SIGCONT');
      storeRelay.setPartitioned(false);
      storeRelay.setStallOnResponse(false);
      storeRelay.setDelay(0);
      storeRelay.resetConnections();
    });
    servers.forEach(({link, stand}) => {
      link.setPartitioned(false);
      link.setStallOnResponse(false);
      stand.setFault('none');
    });
    await Promise.all(servers.map(server => server.start()));
    SOAK_ZONES.forEach(zone => store.remove('evacuations', zone));
    configure({...config(), hasReadRoute: true});
  }

  private gateway({target}: SoakAction): Gateway {
    const {gateways} = this.options.world;
    const gateway = gateways[target % gateways.length];
    if (!gateway) throw new Error('A run needs gateways.');
    return gateway;
  }

  private server({target}: SoakAction): Server {
    const {servers} = this.options.world;
    const server = servers[target % servers.length];
    if (!server) throw new Error('A run needs backend servers.');
    return server;
  }

  private later(ms: number, act: () => void): void {
    const timer = setTimeout(() => {
      this.timers.delete(timer);
      act();
    }, ms);
    this.timers.add(timer);
  }

  /** Does something for a while, in which bounds on time do not hold. */
  private during(forMs: number, begin: () => void, end: () => void): void {
    const from = this.options.now();
    this.disturbed.push({from, to: from + forMs});
    begin();
    this.later(forMs, end);
  }

  private async stop(gateway: Gateway): Promise<void> {
    if (this.stopping.has(gateway) || !gateway.process.isRunning()) return;
    this.stopping.add(gateway);
    const from = this.options.now();
    gateway.process.signal('SIGCONT');
    const code = await gateway.process.stop();
    const tookMs = this.options.now() - from;
    const isOwn = this.stopping.delete(gateway);
    if (isOwn) this.stops.push({gateway: gateway.name, tookMs, code});
  }

  private async crashServer(server: Server, forMs: number): Promise<void> {
    const {store} = this.options.world;
    const {serverId} = server.stand;
    await server.crash();
    this.later(LAPSE_MS, () => {
      if (!server.stand.isUp()) store.remove('servers', serverId);
    });
    this.later(forMs, () => void server.start());
  }

  private readonly handlers: Handlers = {
    'gateway-kill': action => {
      const gateway = this.gateway(action);
      this.stopping.delete(gateway);
      void gateway.process.kill();
    },
    'gateway-stop': action => void this.stop(this.gateway(action)),
    'gateway-pause': action => {
      const gateway = this.gateway(action);
      if (this.stopping.has(gateway)) return;
      this.during(
        action.forMs,
        () => gateway.process.signal('SIGSTOP'),
        () => gateway.process.signal('SIGCONT'),
      );
    },
    'gateway-reload': action => {
      const {process} = this.gateway(action);
      if (process.isRunning()) process.signal('SIGHUP');
    },
    'store-fault': ({fault, forMs}) => {
      const {store} = this.options.world;
      this.during(
        forMs,
        () => store.setFault(fault),
        () => store.setFault('none'),
      );
    },
    'store-compact': () => this.options.world.store.compact(),
    'store-cut': action => {
      const {storeRelay} = this.gateway(action);
      this.during(
        action.forMs,
        () => storeRelay.setPartitioned(true),
        () => storeRelay.setPartitioned(false),
      );
    },
    'store-mute': action => {
      const {storeRelay} = this.gateway(action);
      this.during(
        action.forMs,
        () => storeRelay.setStallOnResponse(true),
        () => storeRelay.setStallOnResponse(false),
      );
    },
    'store-delay': action => {
      const {storeRelay} = this.gateway(action);
      this.during(
        action.forMs,
        () => storeRelay.setDelay(action.forMs / 4),
        () => storeRelay.setDelay(0),
      );
    },
    'server-fault': action => {
      const {stand} = this.server(action);
      stand.setFault(action.fault);
      this.later(action.forMs, () => stand.setFault('none'));
    },
    'server-crash': action => {
      void this.crashServer(this.server(action), action.forMs);
    },
    'server-leave': action => {
      const serverId = this.server(action).leave();
      if (serverId) this.leaves.push({serverId, at: this.options.now()});
    },
    'server-reset': action => this.server(action).link.resetConnections(),
    'server-silence': action => this.server(action).link.stallConnections(),
    'server-cut': action => {
      const {link} = this.server(action);
      link.setPartitioned(true);
      this.later(action.forMs, () => link.setPartitioned(false));
    },
    'server-mute': action => {
      const {link} = this.server(action);
      link.setStallOnResponse(true);
      this.later(action.forMs, () => link.setStallOnResponse(false));
    },
    'zone-out': action => {
      const {store} = this.options.world;
      const zone = SOAK_ZONES[action.target % SOAK_ZONES.length] ?? '';
      store.put('evacuations', zone, {});
      this.later(action.forMs, () => store.remove('evacuations', zone));
    },
    'config-change': () => {
      const {config, configure} = this.options.world;
      const {hasReadRoute} = config();
      configure({hasReadRoute: !hasReadRoute});
    },
  };
}
