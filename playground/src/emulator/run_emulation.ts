import type {
  BackendServer,
  ServingConfig,
  WorkChange,
} from '@figfall/decisions';
import {
  Fleet,
  GATEWAY,
  GatewayCore,
  createGatewayMetrics,
} from '@figfall/gateway';
import type {BackendClient} from '@figfall/gateway';
import {createRandom} from '../random/create_random.js';
import {BaselineFleet} from './baseline_fleet.js';
import {createEmulatedClient} from './emulated_client.js';
import {EmulatedCaller} from './emulated_caller.js';
import type {EmulatedEngine} from './emulated_engine.js';
import type {EmulatedRequest} from './emulated_request.js';
import type {EmulatedResult} from './emulated_result.js';
import {EmulatedServer} from './emulated_server.js';
import {VirtualClock} from './virtual_clock.js';

interface EmulationOptions {
  readonly seed: number;
  readonly gateways: number;
  readonly servers: number;
  readonly engine: EmulatedEngine;
  readonly load: readonly EmulatedRequest[];
  /** Most prompt tokens of a part for a baseline; figfall if undefined. */
  readonly baselinePartTokens?: number;
  /**
   * Time of one way between machines, in milliseconds.
   *
   * @default 0.5
   */
  readonly wayMs?: number;
}

type FleetOptions = ConstructorParameters<typeof Fleet>[0];

/** Milliseconds after the last request until a run ends. */
const DRAIN_MS = 20_000;

const SERVICE = 'pool';
const HOST = 'emulated';
const ZONE = 'nord';

/** Time of one way between machines, in milliseconds. */
const WAY_MS = 0.5;

const QUIET = {
  debug: () => undefined,
  info: () => undefined,
  warn: () => undefined,
  error: () => undefined,
};

function nameOf(index: number): string {
  return `gateway-${index}`;
}

function configOf(
  engine: EmulatedEngine,
  load: readonly EmulatedRequest[],
): ServingConfig {
  const kinds = new Map(load.map(request => [request.kind, request]));
  return {
    version: 1,
    routes: [...kinds.values()].map(({kind, targetMs, pauseMs, timeoutMs}) => ({
      name: kind,
      host: HOST,
      pathPrefix: `/${kind}/`,
      kind: 'streaming',
      resumable: true,
      trafficSplit: [{service: SERVICE, weight: 1}],
      maxAttempts: 2,
      timeoutMs,
      latencyTargetMs: targetMs,
      pauseMs,
      isPublic: true,
    })),
    services: new Map([
      [SERVICE, {name: SERVICE, coldRequestsPerSecond: 0, engine}],
    ]),
    limits: {maxBodyBytes: 1_000, headerTimeoutMs: 1_000, idleTimeoutMs: 1_000},
  };
}

function serverEntry(id: string, slots: number): BackendServer {
  return {
    id,
    service: SERVICE,
    host: id,
    port: 1,
    zone: ZONE,
    state: 'ready',
    slots,
    coldUntil: 0,
  };
}

/** Creates fleets that hear of each other's work after a moment. */
function createFleets(
  {gateways, baselinePartTokens, wayMs = WAY_MS, seed}: EmulationOptions,
  clock: VirtualClock,
): readonly Fleet[] {
  const fleets: Fleet[] = [];
  const random = createRandom(seed);
  const tell = (from: string, change: WorkChange): void =>
    clock.after(wayMs + GATEWAY.WORK_BATCH_MS / 2, () =>
      fleets
        .filter((_, i) => nameOf(i) !== from)
        .forEach(fleet => fleet.applyRemoteChange(change, from)),
    );
  Array.from({length: gateways}, (_, i) => nameOf(i)).forEach(owner => {
    const options: FleetOptions = {
      owner,
      zone: ZONE,
      random,
      now: clock.now,
      onAvoided: () => undefined,
      announce: change => tell(owner, change),
    };
    fleets.push(
      baselinePartTokens === undefined
        ? new Fleet(options)
        : new BaselineFleet(options, baselinePartTokens),
    );
  });
  return fleets;
}

function createClient(
  {engine, load, wayMs = WAY_MS}: EmulationOptions,
  serverIds: readonly string[],
  clock: VirtualClock,
): BackendClient {
  const sizes = new Map(load.map(request => [request.id, request]));
  return createEmulatedClient({
    clock,
    wayMs,
    servers: new Map(
      serverIds.map(id => [id, new EmulatedServer(engine, clock)]),
    ),
    memoryTokens: engine.kvCacheTokens,
    sizeOf: id => sizes.get(id) ?? {promptTokens: 1, outputTokens: 1},
  });
}

function createCores(
  options: EmulationOptions,
  clock: VirtualClock,
): readonly GatewayCore[] {
  const {engine, load, servers, seed} = options;
  const ids = Array.from({length: servers}, (_, i) => `server-${i}`);
  const client = createClient(options, ids, clock);
  return createFleets(options, clock).map((fleet, i) => {
    const core = new GatewayCore({
      fleet,
      client,
      logger: QUIET,
      metrics: createGatewayMetrics(nameOf(i)),
      random: createRandom(seed + i),
      now: clock.now,
      retry: {ratio: 0.2, slack: 100},
    });
    core.applyConfig(configOf(engine, load));
    core.setServers(ids.map(id => serverEntry(id, engine.slots)));
    return core;
  });
}

function serve(
  core: GatewayCore,
  request: EmulatedRequest,
  clock: VirtualClock,
): EmulatedCaller {
  const caller = new EmulatedCaller(request, clock.now);
  const req = {
    requestId: request.id,
    method: 'POST',
    host: HOST,
    target: `/${request.kind}/${request.id}`,
    headers: [],
    body: Buffer.alloc(0),
    timeoutMs: request.timeoutMs,
    arrivedAt: clock.now(),
    prompt: request,
  };
  core.serve(req, caller.sink);
  return caller;
}

/** Plays a load on gateways and emulated servers, under virtual time. */
export async function runEmulation(
  options: EmulationOptions,
): Promise<readonly EmulatedResult[]> {
  const {load, seed} = options;
  const clock = new VirtualClock();
  const cores = createCores(options, clock);
  const tick = (core: GatewayCore): void => {
    core.tick();
    clock.after(GATEWAY.TICK_MS, () => tick(core));
  };
  cores.forEach(tick);
  const random = createRandom(seed);
  const callers: EmulatedCaller[] = [];
  load.forEach(request =>
    clock.after(request.at, () => {
      const core = cores[Math.floor(random() * cores.length)];
      if (core) callers.push(serve(core, request, clock));
    }),
  );
  const lastAt = load.at(-1)?.at ?? 0;
  await clock.runUntil(lastAt + DRAIN_MS);
  return callers.map(caller => caller.result());
}
