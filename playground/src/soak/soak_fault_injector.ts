import type {ActionHandlers} from './action_handlers.js';
import {createLeavingHandlers} from './create_leaving_handlers.js';
import {createProcessHandlers} from './create_process_handlers.js';
import {createServerHandlers} from './create_server_handlers.js';
import type {LeavingCallers} from './leaving_callers.js';
import {pickTarget} from './pick_target.js';
import type {SoakAction} from './soak_action.js';
import type {SoakObservations} from './soak_observations.js';
import type {SlowCallers} from './slow_callers.js';
import {SOAK_ZONES} from './soak_zones.js';
import type {startSoakDeployment} from './start_soak_deployment.js';

type Deployment = Awaited<ReturnType<typeof startSoakDeployment>>;
type Gateway = Deployment['gateways'][number];
type Server = Deployment['servers'][number];
type GatewayDisruption = SoakObservations['gatewayDisruptions'][number];
type MutableList<Item> = Item[];

interface FaultInjectorOptions {
  readonly deployment: Deployment;
  /** Returns monotonic time in milliseconds. */
  readonly now: () => number;
  /** Sends prompts that crash servers for a while. */
  readonly sendCrashingPrompts: (durationMs: number) => void;
  readonly slowCallers: SlowCallers;
  readonly leavingCallers: LeavingCallers;
}

/** Time in which a gateway that was stopped or killed is up again. */
const RESTART_MS = 1_000;

/** Applies actions to a deployment and records what the checks need of them. */
export class SoakFaultInjector {
  readonly linkHarms: MutableList<SoakObservations['linkHarms'][number]> = [];
  readonly drains: MutableList<SoakObservations['drains'][number]> = [];
  readonly disruptions: MutableList<SoakObservations['disruptions'][number]> =
    [];
  readonly gatewayDisruptions: MutableList<GatewayDisruption> = [];
  readonly stops: MutableList<SoakObservations['stops'][number]> = [];
  private readonly stopping = new Set<Gateway>();
  private readonly pendingStops: Promise<void>[] = [];
  private readonly timers = new Set<NodeJS.Timeout>();
  private readonly holds = new Set<() => void>();

  constructor(private readonly options: FaultInjectorOptions) {}

  /** Starts an action; a timer ends it after its duration. */
  apply(action: SoakAction): void {
    const handler = this.handlers[action.type] as (action: SoakAction) => void;
    handler(action);
  }

  /** Ends all faults, also stops, and starts the servers that are down. */
  async clearFaults(): Promise<void> {
    this.timers.forEach(timer => clearTimeout(timer));
    this.holds.forEach(release => release());
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
      backend.notices.nameLimit(undefined);
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

  /** Ends a fault after a time, or when `clearFaults` comes if that is sooner. */
  private hold(durationMs: number, release: () => void): void {
    const releaseOnce = (): void => {
      if (this.holds.delete(releaseOnce)) release();
    };
    this.holds.add(releaseOnce);
    setTimeout(releaseOnce, durationMs);
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
  private disruptGateway(
    {name}: Gateway,
    cause: GatewayDisruption['cause'],
    durationMs: number,
  ): void {
    const from = this.options.now();
    const span = {from, to: from + durationMs};
    this.gatewayDisruptions.push({gateway: name, cause, ...span});
  }

  private pauseGateway(action: SoakAction): void {
    const gateway = this.targetGateway(action);
    if (this.stopping.has(gateway)) return;
    this.disruptGateway(gateway, 'pause', action.durationMs);
    this.disrupt(
      action.durationMs,
      () => gateway.process.signal('SIGSTOP'),
      () => gateway.process.signal('SIGCONT'),
    );
  }

  private killGateway(gateway: Gateway, downMs: number): void {
    this.stopping.delete(gateway);
    this.disruptGateway(gateway, 'kill', downMs);
    void gateway.process.kill();
  }

  private async stopGateway(gateway: Gateway): Promise<void> {
    if (this.stopping.has(gateway) || !gateway.process.isRunning()) return;
    this.stopping.add(gateway);
    const from = this.options.now();
    gateway.process.signal('SIGCONT');
    const exitCode = await gateway.process.stop();
    const durationMs = this.options.now() - from;
    this.disruptGateway(gateway, 'stop', RESTART_MS);
    const isStillStopping = this.stopping.delete(gateway);
    if (isStillStopping) {
      this.stops.push({gateway: gateway.name, from, durationMs, exitCode});
    }
  }

  private readonly handlers: ActionHandlers = {
    ...createServerHandlers({
      targetServer: action => this.targetServer(action),
      now: () => this.options.now(),
      schedule: (delayMs, callback) => this.schedule(delayMs, callback),
      removeEntry: serverId =>
        this.options.deployment.store.remove('servers', serverId),
      onDrain: drain => this.drains.push(drain),
      onLinkHarm: harm => this.linkHarms.push(harm),
    }),
    ...createLeavingHandlers({
      gatewayCount: () => this.options.deployment.gateways.length,
      leavingCallers: () => this.options.leavingCallers,
      pauseGateway: action => this.pauseGateway(action),
      hold: (durationMs, release) => this.hold(durationMs, release),
    }),
    ...createProcessHandlers({
      gateways: () => this.options.deployment.gateways,
      slowCallers: () => this.options.slowCallers,
      targetGateway: action => this.targetGateway(action),
      schedule: (delayMs, callback) => this.schedule(delayMs, callback),
      hold: (durationMs, release) => this.hold(durationMs, release),
      kill: (gateway, downMs) => this.killGateway(gateway, downMs),
      recordDown: (gateway, downMs) =>
        this.disruptGateway(gateway, 'kill', downMs),
    }),
    'gateway-kill': action =>
      this.killGateway(this.targetGateway(action), RESTART_MS),
    'gateway-stop': action => {
      this.pendingStops.push(this.stopGateway(this.targetGateway(action)));
    },
    'gateway-pause': action => this.pauseGateway(action),
    'gateway-reload': action => {
      const {process} = this.targetGateway(action);
      if (process.handlesReload()) process.reload();
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
      updateConfig({hasReadRoute: !currentConfig().hasReadRoute});
    },
  };
}
