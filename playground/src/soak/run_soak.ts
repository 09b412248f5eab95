import {Agent} from 'node:http';
import {rmSync} from 'node:fs';
import {sleep} from '../http/sleep.js';
import {checkInvariants} from './check_invariants.js';
import {countAnswers} from './count_answers.js';
import {CrashingPrompts} from './crashing_prompts.js';
import {HarnessDelays} from './harness_delays.js';
import {LeavingCallers} from './leaving_callers.js';
import {MEMORY_LIMIT_MB} from './memory_limit_mb.js';
import {planPlantedFault} from './plan_planted_fault.js';
import {planSoakActions} from './plan_soak_actions.js';
import type {PlantedFault} from './planted_fault.js';
import {sendFinalRequests} from './send_final_requests.js';
import {SoakCallers} from './soak_callers.js';
import type {SoakObservations} from './soak_observations.js';
import {SlowCallers} from './slow_callers.js';
import {SoakFaultInjector} from './soak_fault_injector.js';
import {SOAK_PORTS} from './soak_ports.js';
import {startSoakDeployment} from './start_soak_deployment.js';

interface SoakOptions {
  /** Seed of the actions and of the requests. */
  readonly seed: number;
  /** Milliseconds under faults. @default 10_000 */
  readonly durationMs?: number;
  /** Number of gateways. @default 4 */
  readonly gateways?: number;
  /** Number of model engines. @default 6 */
  readonly modelEngines?: number;
  /** Number of plain services. @default 3 */
  readonly plainServices?: number;
  /** Number of callers. @default 24 */
  readonly callers?: number;
  /** False to leave out faults at the edges of processes. @default true */
  readonly hasProcessFaults?: boolean;
  /** Fault planted at the sockets of callers; no other is. @default none */
  readonly plantedFault?: PlantedFault;
}

/** Memory of a machine on which no gateway can run, in MB. */
const SMALL_MEMORY_MB = 10;

/** Result of a soak run. */
interface SoakResult {
  readonly seed: number;
  /** Violations of invariants, one line each. */
  readonly violations: readonly string[];
  /** Number of requests sent. */
  readonly requests: number;
  /** Number of requests answered with status 200. */
  readonly served: number;
  /** Number of actions applied. */
  readonly actions: number;
  /** Number of requests by how their answers were judged. */
  readonly answers: ReturnType<typeof countAnswers>;
  /** Largest resident memory of a gateway in MB. */
  readonly peakMemoryMb: number;
  readonly earlyReloads: ReturnType<typeof countEarlyReloads>;
  /** Folder with the logs; deleted if there are no violations. */
  readonly folder: string;
}

type Deployment = Awaited<ReturnType<typeof startSoakDeployment>>;

/** Time limit for all gateways to serve after the start or the last fault. */
const RECOVERY_LIMIT_MS = 15_000;

/** Time until all gateways have applied the last change. */
const SETTLE_MS = 4_000;

/** Time limit for reservations to end after their last use. */
const RESERVATION_LIMIT_MS = 4_000;

/** Crashing prompts come this many times longer than other actions last. */
const CRASHING_FACTOR = 3;

const POLL_INTERVAL_MS = 200;

/** Resolves when a condition holds or a time limit has passed. */
async function pollUntil(
  condition: () => Promise<boolean> | boolean,
  limitMs: number,
): Promise<void> {
  const deadline = performance.now() + limitMs;
  while (!(await condition()) && performance.now() < deadline) {
    await sleep(POLL_INTERVAL_MS);
  }
}

async function isServing(
  callers: SoakCallers,
  deployment: Deployment,
): Promise<boolean> {
  const agent = new Agent();
  const outcomes = await Promise.all(
    deployment.gateways.map((_, gateway) =>
      callers.send(agent, {gateway, kind: 'read'}),
    ),
  );
  return outcomes.every(({status}) => status === 200);
}

function heldReservationIds({servers}: Deployment): readonly string[] {
  return servers.flatMap(({backend}) => backend.reservations.reservationIds());
}

/** SIGHUPs before the first instruction of a program, and ends by them. */
function countEarlyReloads({gateways}: Deployment) {
  const counts = gateways.map(gateway => gateway.process.earlyReloads);
  const sum = (key: 'sent' | 'ended') =>
    counts.reduce((total, count) => total + count[key], 0);
  return {sent: sum('sent'), ended: sum('ended')};
}

async function closeDeployment(
  deployment: Deployment,
): Promise<SoakObservations['stops']> {
  const stops = await Promise.all(
    deployment.gateways.map(async ({name, process}) => {
      const from = performance.now();
      const exitCode = await process.close();
      const durationMs = performance.now() - from;
      return {gateway: name, from, durationMs, exitCode};
    }),
  );
  await Promise.all(
    deployment.gateways.map(gateway => gateway.storeRelay.close()),
  );
  await Promise.all(deployment.servers.map(server => server.close()));
  await deployment.bulkServer.crash();
  await deployment.store.close();
  return stops;
}

/**
 * Runs gateway processes under load and random faults, lets them recover, and
 * checks the invariants of their service.
 */
export async function runSoak(options: SoakOptions): Promise<SoakResult> {
  const {seed, durationMs = 10_000, gateways = 4} = options;
  const {modelEngines = 6, plainServices = 3, callers: count = 24} = options;
  const {plantedFault, hasProcessFaults} = options;
  const now = () => performance.now();
  const subnetIndex = (process.pid + seed) % 25_000;
  const crashing = new CrashingPrompts(now);
  const deployment = await startSoakDeployment({
    gateways,
    modelEngines,
    plainServices,
    subnetIndex,
    now,
    crashesOn: parts => crashing.crashesOn(parts),
    hidesLimit: plantedFault === 'unsaid-limit',
  });
  const callers = new SoakCallers({
    seed,
    count,
    gateways: deployment.gateways,
    port: SOAK_PORTS.callers,
    crashingPartByRequestId: crashing.partByRequestId,
    plantedFault,
  });
  const slowCallers = new SlowCallers({
    seed,
    port: SOAK_PORTS.callers,
    onRequest: (outcome, gateway) => callers.record(outcome, gateway),
  });
  const leavingCallers = new LeavingCallers({seed, callers});
  const injector = new SoakFaultInjector({
    deployment,
    now,
    slowCallers,
    leavingCallers,
    sendCrashingPrompts: forMs => {
      const part = `crash-${callers.outcomes.length}`;
      crashing.add(part);
      void callers.sendCrashing(part, forMs * CRASHING_FACTOR);
    },
  });
  const servers = modelEngines + plainServices;
  const plan = plantedFault
    ? planPlantedFault(plantedFault, {servers, durationMs})
    : planSoakActions({seed, durationMs, gateways, servers, hasProcessFaults});
  await pollUntil(() => isServing(callers, deployment), RECOVERY_LIMIT_MS);
  const harnessDelays = new HarnessDelays(now);
  const callersDone = callers.run();
  const startedAt = now();
  for (const action of plan) {
    await sleep(Math.max(0, startedAt + action.startMs - now()));
    injector.apply(action);
  }
  await sleep(Math.max(0, startedAt + durationMs - now()));
  await injector.clearFaults();
  await pollUntil(() => isServing(callers, deployment), RECOVERY_LIMIT_MS);
  await sleep(SETTLE_MS);
  callers.stop();
  await callersDone;
  const finalRequests = await sendFinalRequests(callers, deployment.gateways);
  await pollUntil(
    () => heldReservationIds(deployment).length === 0,
    RESERVATION_LIMIT_MS,
  );
  harnessDelays.stop();
  const leakedReservationIds = heldReservationIds(deployment);
  callers.close();
  const stops = [...injector.stops, ...(await closeDeployment(deployment))];
  const limitMb =
    plantedFault === 'small-memory' ? SMALL_MEMORY_MB : MEMORY_LIMIT_MB;
  const memory = deployment.gateways.map(gateway => ({
    gateway: gateway.name,
    peakMb: gateway.process.peakMemoryMb,
    limitMb,
  }));
  const observations: SoakObservations = {
    outcomes: callers.outcomes,
    executions: deployment.executions,
    arrivals: deployment.arrivals,
    runs: deployment.runs,
    noticeResponses: deployment.noticeResponses,
    gatewayByRequestId: callers.gatewayByRequestId,
    sentAtByRequestId: callers.sentAtByRequestId,
    gatewayDisruptions: injector.gatewayDisruptions,
    linkHarms: injector.linkHarms,
    harnessDelays: harnessDelays.spans,
    promptCrashes: crashing.crashes,
    crashingPartByRequestId: crashing.partByRequestId,
    drains: injector.drains,
    disruptions: injector.disruptions,
    stops,
    unexpectedExits: deployment.unexpectedExits,
    memory,
    finalRequests,
    leakedReservationIds,
  };
  const violations = checkInvariants(observations);
  if (violations.length === 0) rmSync(deployment.folder, {recursive: true});
  return {
    seed,
    violations,
    requests: callers.outcomes.length,
    served: callers.outcomes.filter(({status}) => status === 200).length,
    actions: plan.length,
    answers: countAnswers(observations),
    peakMemoryMb: Math.max(...memory.map(({peakMb}) => peakMb)),
    earlyReloads: countEarlyReloads(deployment),
    folder: deployment.folder,
  };
}
