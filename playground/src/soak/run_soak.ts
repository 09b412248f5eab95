import {Agent} from 'node:http';
import {rmSync} from 'node:fs';
import {sleep} from '../http/sleep.js';
import {checkPromises} from './check_promises.js';
import {planSoak} from './plan_soak.js';
import {SoakCallers} from './soak_callers.js';
import type {SoakEvidence} from './soak_evidence.js';
import {SoakFaults} from './soak_faults.js';
import {SOAK_PORTS} from './soak_ports.js';
import {startSoakWorld} from './soak_world.js';

interface SoakOptions {
  readonly seed: number;
  /** @default 10_000 */
  readonly durationMs?: number;
  /** @default 4 */
  readonly gateways?: number;
  /** @default 6 */
  readonly models?: number;
  /** @default 3 */
  readonly plains?: number;
  /** @default 24 */
  readonly callers?: number;
}

/** How a run went. */
interface SoakResult {
  readonly seed: number;
  readonly broken: readonly string[];
  readonly requests: number;
  readonly served: number;
  readonly actions: number;
  /** Folder with the logs; kept where a promise was broken. */
  readonly folder: string;
}

type World = Awaited<ReturnType<typeof startSoakWorld>>;
type Finals = SoakEvidence['finals'];

/** Milliseconds within which gateways serve after all faults have gone. */
const RECOVER_MS = 15_000;

/** Milliseconds after which a change is in force everywhere. */
const SETTLE_MS = 4_000;

/** Milliseconds within which reservations end after their last use. */
const FREE_MS = 4_000;

const POLL_MS = 200;

const FINALS = [
  {what: 'a stream', kind: 'stream', key: undefined, expected: 200},
  {what: 'a read', kind: 'read', key: undefined, expected: 200},
  {what: 'a booking', kind: 'book', key: undefined, expected: 200},
  {
    what: 'an unknown key',
    kind: 'read',
    key: {workspace: '', apiKey: 'nobody'},
    expected: 401,
  },
] as const;

/** Resolves when a condition holds or the time is up. */
async function until(
  isDone: () => Promise<boolean> | boolean,
  limitMs: number,
): Promise<void> {
  const deadline = performance.now() + limitMs;
  while (!(await isDone()) && performance.now() < deadline) {
    await sleep(POLL_MS);
  }
}

async function isServing(callers: SoakCallers, world: World): Promise<boolean> {
  const agent = new Agent();
  const outcomes = await Promise.all(
    world.gateways.map((_, gateway) =>
      callers.send(agent, {gateway, kind: 'read'}),
    ),
  );
  return outcomes.every(({status}) => status === 200);
}

/**
 * Sends a request of each kind to each gateway, which nothing disturbs. One
 * gateway at a time, as their long prompts together fill all KV cache.
 */
async function sendFinals(
  callers: SoakCallers,
  {gateways}: World,
): Promise<Finals> {
  const agent = new Agent();
  const sent: Finals[] = [];
  for (const [gateway, {name}] of gateways.entries()) {
    sent.push(
      await Promise.all(
        FINALS.map(async ({what, kind, key, expected}) => {
          const {status} = await callers.send(agent, {gateway, kind, key});
          return {gateway: name, what, expected, status};
        }),
      ),
    );
  }
  return sent.flat();
}

function heldReservations({servers}: World): readonly string[] {
  return servers.flatMap(({stand}) => stand.reservations.reservationIds());
}

async function closeWorld(world: World): Promise<SoakEvidence['stops']> {
  const stops = await Promise.all(
    world.gateways.map(async ({name, process}) => {
      const from = performance.now();
      const code = await process.close();
      return {gateway: name, tookMs: performance.now() - from, code};
    }),
  );
  await Promise.all(world.gateways.map(gateway => gateway.storeRelay.close()));
  await Promise.all(world.servers.map(server => server.close()));
  await world.store.close();
  return stops;
}

/** Runs real gateways under drawn faults and checks what must hold. */
export async function runSoak(options: SoakOptions): Promise<SoakResult> {
  const {seed, durationMs = 10_000, gateways = 4} = options;
  const {models = 6, plains = 3, callers: count = 24} = options;
  const now = () => performance.now();
  const network = (process.pid + seed) % 25_000;
  const world = await startSoakWorld({gateways, models, plains, network, now});
  const faults = new SoakFaults({world, now});
  const callers = new SoakCallers({
    seed,
    count,
    gateways: world.gateways,
    port: SOAK_PORTS.callers,
  });
  const plan = planSoak({seed, durationMs, gateways, servers: models + plains});
  await until(() => isServing(callers, world), RECOVER_MS);
  const load = callers.run();
  const startedAt = now();
  for (const action of plan) {
    await sleep(Math.max(0, startedAt + action.at - now()));
    faults.play(action);
  }
  await sleep(Math.max(0, startedAt + durationMs - now()));
  await faults.heal();
  await until(() => isServing(callers, world), RECOVER_MS);
  await sleep(SETTLE_MS);
  callers.stop();
  await load;
  const finals = await sendFinals(callers, world);
  await until(() => heldReservations(world).length === 0, FREE_MS);
  const held = heldReservations(world);
  callers.close();
  const stops = [...faults.stops, ...(await closeWorld(world))];
  const broken = checkPromises({
    outcomes: callers.outcomes,
    runs: world.runs,
    leaves: faults.leaves,
    disturbed: faults.disturbed,
    stops,
    crashes: world.crashes,
    finals,
    heldReservations: held,
  });
  if (broken.length === 0) rmSync(world.folder, {recursive: true});
  return {
    seed,
    broken,
    requests: callers.outcomes.length,
    served: callers.outcomes.filter(({status}) => status === 200).length,
    actions: plan.length,
    folder: world.folder,
  };
}
