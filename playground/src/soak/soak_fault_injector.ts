import {pickTarget} from './pick_target.js';
import type {SoakAction} from './soak_action.js';
import type {SoakObservations} from './soak_observations.js';
import {SOAK_ZONES} from './soak_zones.js';
import type {startSoakDeployment} from './start_soak_deployment.js';

type Deployment = Awaited<ReturnType<typeof startSoakDeployment>>;
type Gateway = Deployment['gateways'][number];
type Server = Deployment['servers'][number];
type MutableList<Item> = Item[];

interface FaultInjectorOptions {
  readonly deployment: Deployment;
  /** Returns monotonic time in milliseconds. */
  readonly now: () => number;
  /** Sends prompts that crash servers for a while. */
  readonly sendCrashingPrompts: (durationMs: number) => void;
}

type ActionHandlers = {
  readonly [Type in SoakAction['type']]: (
    action: SoakAction & {readonly type: Type},
  ) => void;
};

/** Time after a crash until the store drops the entry of the server. */
const SERVER_ENTRY_TTL_MS = 2_000;

/** Time in which a gateway that was stopped or killed is up again. */
const RESTART_MS = 1_000;

/** Applies actions to a deployment and records what the checks need of them. */
export class SoakFaultInjector {
  readonly drains: MutableList<SoakObservations['drains'][number]> = [];
  readonly disruptions: MutableList<SoakObservations['disruptions'][number]> =
    [];
  readonly gatewayDisruptions: MutableList<
    SoakObservations['gatewayDisruptions'][number]
  > = [];
  readonly stops: MutableList<SoakObservations['stops'][number]> = [];
  private readonly stopping = new Set<Gateway>();
  private readonly pendingStops: Promise<void>[] = [];
  private readonly timers = new Set<NodeJS.Timeout>();

  constructor(private readonly options: FaultInjectorOptions) {}

  /** Starts an action; a timer ends it after its duration. */
  apply(action: SoakAction): void {
    const handler = this.handlers[action.type] as (action: SoakAction) => void;
    handler(action);
  }

  /** Ends all faults, also stops, and starts the servers that are down. */
  async clearFaults(): Promise<void> {
    this.timers.forEach(timer => clearTimeout(timer));
    const {gateways, servers, store, currentConfig, updateConfig} =
      this.options.deployment;
    store.setFault('none');
    gateways.forEach(({process, storeRelay}) => {
      process.signal('SIGCONT');
      storeRelay.setPartitioned(false);
      storeRelay.setStallOnResponse(false);
      storeRelay.setDelay(0);
      storeRelay.resetConnections();
    });
    servers.forEach(({relay, backend}) => {
      relay.setPartitioned(false);
      relay.setStallOnResponse(false);
      backend.setFault('none');
    });
    await Promise.all(this.pendingStops);
    await Promise.all(servers.map(server => server.recover()));
    SOAK_ZONES.forEach(zone => store.remove('evacuations', zone));
    updateConfig({...currentConfig(), hasReadRoute: true});
  }

  private targetGateway({targetIndex}: SoakAction): Gateway {
    return pickTarget(this.options.deployment.gateways, targetIndex);
  }

  private targetServer({targetIndex}: SoakAction): Server {
    return pickTarget(this.options.deployment.servers, targetIndex);
  }

  /** Calls a function after a delay, unless `clearFaults` comes first. */
  private schedule(delayMs: number, callback: () => void): void {
    const timer = setTimeout(() => {
      this.timers.delete(timer);
      callback();
    }, delayMs);
    this.timers.add(timer);
  }

  /** Applies a fault for a time and records that time as a disruption. */
  private disrupt(
    durationMs: number,
    applyFault: () => void,
    clearFault: () => void,
  ): void {
    const from = this.options.now();
    this.disruptions.push({from, to: from + durationMs});
    applyFault();
    this.schedule(durationMs, clearFault);
  }

  /** Records that a gateway is paused or restarts about now. */
  private disruptGateway({name}: Gateway, durationMs: number): void {
    const from = this.options.now();
    this.gatewayDisruptions.push({gateway: name, from, to: from + durationMs});
  }

  private async stopGateway(gateway: Gateway): Promise<void> {
    if (this.stopping.has(gateway) || !gateway.process.isRunning()) return;
    this.stopping.add(gateway);
    const from = this.options.now();
    gateway.process.signal('SIGCONT');
    const exitCode = await gateway.process.stop();
    const durationMs = this.options.now() - from;
    this.disruptGateway(gateway, RESTART_MS);
    const isStillStopping = this.stopping.delete(gateway);
    if (isStillStopping) {
      this.stops.push({gateway: gateway.name, durationMs, exitCode});
    }
  }

  private async crashServer(server: Server, downMs: number): Promise<void> {
    const {store} = this.options.deployment;
    const {serverId} = server.backend;
    await server.crash();
    this.schedule(SERVER_ENTRY_TTL_MS, () => {
      if (!server.backend.isUp()) store.remove('servers', serverId);
    });
    this.schedule(downMs, () => void server.start());
  }

  private readonly handlers: ActionHandlers = {
    'gateway-kill': action => {
      const gateway = this.targetGateway(action);
      this.stopping.delete(gateway);
      this.disruptGateway(gateway, RESTART_MS);
      void gateway.process.kill();
    },
    'gateway-stop': action => {
      this.pendingStops.push(this.stopGateway(this.targetGateway(action)));
    },
    'gateway-pause': action => {
      const gateway = this.targetGateway(action);
      if (this.stopping.has(gateway)) return;
      this.disruptGateway(gateway, action.durationMs);
      this.disrupt(
        action.durationMs,
        () => gateway.process.signal('SIGSTOP'),
        () => gateway.process.signal('SIGCONT'),
      );
    },
    'gateway-reload': action => {
      const {process} = this.targetGateway(action);
      if (process.isRunning()) process.signal('SIGHUP');
    },
    'store-fault': ({fault, durationMs}) => {
      const {store} = this.options.deployment;
      this.disrupt(
        durationMs,
        () => store.setFault(fault),
        () => store.setFault('none'),
      );
    },
    'store-compact': () => this.options.deployment.store.compact(),
    'store-restore': ({durationMs}) => {
      const {store} = this.options.deployment;
      const options = {ageMs: durationMs, rewriteAfterMs: durationMs / 2};
      this.disrupt(
        durationMs,
        () => store.restore(options),
        () => undefined,
      );
    },
    'store-disconnect': action => {
      const {storeRelay} = this.targetGateway(action);
      this.disrupt(
        action.durationMs,
        () => storeRelay.setPartitioned(true),
        () => storeRelay.setPartitioned(false),
      );
    },
    'store-drop-responses': action => {
      const {storeRelay} = this.targetGateway(action);
      this.disrupt(
        action.durationMs,
        () => storeRelay.setStallOnResponse(true),
        () => storeRelay.setStallOnResponse(false),
      );
    },
    'store-delay': action => {
      const {storeRelay} = this.targetGateway(action);
      this.disrupt(
        action.durationMs,
        () => storeRelay.setDelay(action.durationMs / 4),
        () => storeRelay.setDelay(0),
      );
    },
    'server-fault': action => {
      const {backend} = this.targetServer(action);
      backend.setFault(action.fault);
      this.schedule(action.durationMs, () => backend.setFault('none'));
    },
    'server-crash': action => {
      void this.crashServer(this.targetServer(action), action.durationMs);
    },
    'server-drain': action => {
      const serverId = this.targetServer(action).drain();
      if (serverId) {
        this.drains.push({serverId, startedAt: this.options.now()});
      }
    },
    'server-leave': action => this.targetServer(action).leave(),
    'server-pause': action =>
      this.targetServer(action).backend.pauseFor(action.durationMs),
    'server-reset-connections': action =>
      this.targetServer(action).relay.resetConnections(),
    'server-hang-connections': action =>
      this.targetServer(action).relay.stallConnections(),
    'server-disconnect': action => {
      const {relay} = this.targetServer(action);
      relay.setPartitioned(true);
      this.schedule(action.durationMs, () => relay.setPartitioned(false));
    },
    'server-drop-responses': action => {
      const {relay} = this.targetServer(action);
      relay.setStallOnResponse(true);
      this.schedule(action.durationMs, () => relay.setStallOnResponse(false));
    },
    'zone-evacuate': action => {
      const {store} = this.options.deployment;
      const zone = pickTarget(SOAK_ZONES, action.targetIndex);
      store.put('evacuations', zone, {});
      this.schedule(action.durationMs, () => store.remove('evacuations', zone));
    },
    'prompt-crash': ({durationMs}) =>
      this.options.sendCrashingPrompts(durationMs),
    'config-change': () => {
      const {currentConfig, updateConfig} = this.options.deployment;
      const {hasReadRoute} = currentConfig();
      updateConfig({hasReadRoute: !hasReadRoute});
    },
  };
}
