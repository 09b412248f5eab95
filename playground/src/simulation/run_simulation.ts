import type {BackendServer, WorkChange} from '@figfall/decisions';
import {
  Fleet,
  GATEWAY,
  GatewayCore,
  UNLIMITED_MEMORY,
  createGatewayMetrics,
  hashText,
} from '@figfall/gateway';
import type {BackendClient} from '@figfall/gateway';
import {createRandom} from '../random/create_random.js';
import {BaselineFleet} from './baseline_fleet.js';
import {buildSimulatedConfig} from './build_simulated_config.js';
import {createSimulatedClient} from './create_simulated_client.js';
import {SILENT_LOGGER} from './silent_logger.js';
import {SimulatedCaller} from './simulated_caller.js';
import type {SimulatedEngine} from './simulated_engine.js';
import {SIMULATED_NAMES} from './simulated_names.js';
import type {SimulatedRequest} from './simulated_request.js';
import type {SimulatedResult} from './simulated_result.js';
import {SimulatedServer} from './simulated_server.js';
import type {SimulatedZones} from './simulated_zones.js';
import type {SimulationOptions} from './simulation_options.js';
import {VirtualClock} from './virtual_clock.js';

type FleetOptions = ConstructorParameters<typeof Fleet>[0];

/** Time from the last arrival to the end of a run. */
const DRAIN_MS = 20_000;

const ZONE = 'nord';

const ONE_ZONE: SimulatedZones = {
  ofServer: () => ZONE,
  ofGateway: () => ZONE,
  delayMs: 0,
};

/** Bytes of a request's body for each token of its prompt. */
const BYTES_PER_TOKEN = 4;

/** Default one-way network delay between machines. */
const ONE_WAY_DELAY_MS = 0.5;

function gatewayName(index: number): string {
  return `gateway-${index}`;
}

function buildServer(id: string, zone: string, slots: number): BackendServer {
  return {
    id,
    service: SIMULATED_NAMES.service,
    host: id,
    port: 1,
    zone,
    state: 'ready',
    slots,
    coldUntil: 0,
  };
}

/** Creates one fleet per gateway; each announces its work to the others. */
function createFleets(
  {
    gateways,
    baselineMaxPartTokens,
    oneWayDelayMs = ONE_WAY_DELAY_MS,
    broadcastDelayMs = oneWayDelayMs + GATEWAY.WORK_BATCH_MS / 2,
    seed,
    zones = ONE_ZONE,
  }: SimulationOptions,
  clock: VirtualClock,
): readonly Fleet[] {
  const fleets: Fleet[] = [];
  const random = createRandom(seed);
  const broadcast = (from: string, change: WorkChange): void =>
    clock.schedule(broadcastDelayMs, () =>
      fleets
        .filter((_, i) => gatewayName(i) !== from)
        .forEach(fleet => fleet.applyRemoteChange(change, from)),
    );
  Array.from({length: gateways}, (_, i) => gatewayName(i)).forEach(
    (owner, i) => {
      const options: FleetOptions = {
        owner,
        zone: zones.ofGateway(i),
        zoneSettings: () => zones.settings ?? {},
        random,
        now: clock.now,
        onAvoided: () => undefined,
        onLimit: () => undefined,
        gatewayId: owner,
        hash: hashText,
        sendPermits: () => undefined,
        onSuspect: () => undefined,
        announce: change => broadcast(owner, change),
      };
      fleets.push(
        baselineMaxPartTokens === undefined
          ? new Fleet(options)
          : new BaselineFleet(options, baselineMaxPartTokens),
      );
    },
  );
  return fleets;
}

/** The engine with all durations multiplied by `pace`. */
function scaleEngine(engine: SimulatedEngine, pace: number): SimulatedEngine {
  return {
    ...engine,
    stepMs: engine.stepMs * pace,
    stepMsPerSequence: engine.stepMsPerSequence * pace,
    prefillTokensPerMs: engine.prefillTokensPerMs / pace,
    attentionMsPerMillionPairs: engine.attentionMsPerMillionPairs * pace,
  };
}

function createClient(
  {
    engine,
    load,
    oneWayDelayMs = ONE_WAY_DELAY_MS,
    paceOf = () => 1,
    zones = ONE_ZONE,
    onSend,
  }: SimulationOptions,
  serverIds: readonly string[],
  zoneOfRequest: ReadonlyMap<string, string>,
  clock: VirtualClock,
): BackendClient {
  const sizes = new Map(load.map(request => [request.id, request]));
  const zoneOf = (requestId: string) => zoneOfRequest.get(requestId) ?? ZONE;
  const client = createSimulatedClient({
    clock,
    delayMsOf: (serverId, requestId) => {
      const zone = zones.ofServer(serverIds.indexOf(serverId));
      const isOwn = zone === zoneOf(requestId);
      return oneWayDelayMs + (isOwn ? 0 : zones.delayMs);
    },
    servers: new Map(
      serverIds.map((id, i) => [
        id,
        new SimulatedServer(scaleEngine(engine, paceOf(i)), clock),
      ]),
    ),
    memoryTokens: engine.kvCacheTokens,
    sizeOf: id => sizes.get(id) ?? {promptTokens: 1, outputTokens: 1},
  });
  return {
    ...client,
    send: (req, onEvent) => {
      const request = sizes.get(req.requestId);
      const transfer = {
        from: zoneOf(req.requestId),
        helpers: req.helpers.map(({server}) => server.id),
      };
      if (request) onSend?.(req.server.id, request, transfer);
      return client.send(req, onEvent);
    },
  };
}

function createCores(
  options: SimulationOptions,
  zoneOfRequest: ReadonlyMap<string, string>,
  clock: VirtualClock,
): readonly GatewayCore[] {
  const {engine, load, servers, seed, zones = ONE_ZONE} = options;
  const ids = Array.from({length: servers}, (_, i) => `server-${i}`);
  const client = createClient(options, ids, zoneOfRequest, clock);
  return createFleets(options, clock).map((fleet, i) => {
    const core = new GatewayCore({
      fleet,
      client,
      logger: SILENT_LOGGER,
      metrics: createGatewayMetrics(gatewayName(i)),
      random: createRandom(seed + i),
      now: clock.now,
      retry: {ratio: 0.2, slack: 100},
    });
    core.applyConfig(buildSimulatedConfig(engine, load));
    core.setServers(
      ids.map((id, at) => buildServer(id, zones.ofServer(at), engine.slots)),
    );
    return core;
  });
}

function sendRequest(
  core: GatewayCore,
  request: SimulatedRequest,
  clock: VirtualClock,
): SimulatedCaller {
  const caller = new SimulatedCaller(request, clock.now);
  const req = {
    requestId: request.id,
    method: 'POST',
    host: SIMULATED_NAMES.host,
    target: `/${request.kind}/${request.id}`,
    headers: [],
    body: Buffer.alloc(request.promptTokens * BYTES_PER_TOKEN),
    timeoutMs: request.timeoutMs,
    arrivedAt: clock.now(),
    prompt: {...request, sharedParts: []},
    memory: UNLIMITED_MEMORY,
  };
  core.serve(req, caller.sink);
  return caller;
}

/**
 * Runs a load against gateways and simulated servers in virtual time. The same
 * options give the same results, one per request in order of arrival.
 */
export async function runSimulation(
  options: SimulationOptions,
): Promise<readonly SimulatedResult[]> {
  const {load, seed, zones = ONE_ZONE} = options;
  const clock = new VirtualClock();
  const zoneOfRequest = new Map<string, string>();
  const cores = createCores(options, zoneOfRequest, clock);
  const tick = (core: GatewayCore): void => {
    core.tick();
    clock.schedule(GATEWAY.TICK_MS, () => tick(core));
  };
  cores.forEach(tick);
  const random = createRandom(seed);
  const callers: SimulatedCaller[] = [];
  load.forEach(request =>
    clock.schedule(request.arrivalMs, () => {
      const index = Math.floor(random() * cores.length);
      const core = cores[index];
      zoneOfRequest.set(request.id, zones.ofGateway(index));
      if (core) callers.push(sendRequest(core, request, clock));
    }),
  );
  const lastArrivalMs = load.at(-1)?.arrivalMs ?? 0;
  await clock.runUntil(lastArrivalMs + DRAIN_MS);
  return callers.map(caller => caller.result());
}
