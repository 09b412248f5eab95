import {createRandom} from '../random/create_random.js';
import {planLimits} from './plan_limits.js';
import {planSilences} from './plan_silences.js';
import type {SoakAction} from './soak_action.js';

interface PlanOptions {
  readonly seed: number;
  readonly durationMs: number;
  /** Number of gateways. */
  readonly gateways: number;
  /** Number of backend servers. */
  readonly servers: number;
  /** False to leave out faults at the edges of processes. @default true */
  readonly hasProcessFaults?: boolean;
}

type ActionKind = Omit<SoakAction, 'startMs' | 'targetIndex' | 'durationMs'>;

const STORE_FAULTS = ['busy', 'limited', 'reset', 'silent'] as const;
const SERVER_FAULTS = ['errors', 'hang', 'reset', 'extra', 'cut'] as const;

/** Kinds of actions, repeated by weight; seeds depend on their order. */
const ACTION_KINDS: readonly ActionKind[] = [
  {type: 'gateway-kill'},
  {type: 'gateway-kill'},
  {type: 'gateway-stop'},
  {type: 'gateway-stop'},
  {type: 'gateway-stop'},
  {type: 'gateway-pause'},
  {type: 'gateway-pause'},
  {type: 'gateway-reload'},
  {type: 'store-compact'},
  {type: 'store-disconnect'},
  {type: 'store-drop-responses'},
  {type: 'store-delay'},
  {type: 'server-crash'},
  {type: 'server-crash'},
  {type: 'server-drain'},
  {type: 'server-drain'},
  {type: 'server-reset-connections'},
  {type: 'server-hang-connections'},
  {type: 'server-disconnect'},
  {type: 'server-drop-responses'},
  {type: 'zone-evacuate'},
  {type: 'config-change'},
  {type: 'config-change'},
  ...STORE_FAULTS.map(fault => ({type: 'store-fault' as const, fault})),
  ...SERVER_FAULTS.map(fault => ({type: 'server-fault' as const, fault})),
];

/** Kinds drawn apart, so that seeds keep their actions of the first kinds. */
const LATER_ACTION_KINDS: readonly ActionKind[] = [
  {type: 'store-restore'},
  {type: 'server-leave'},
  {type: 'server-leave'},
  {type: 'server-pause'},
  {type: 'server-pause'},
];

/** Kinds drawn by themselves, so that seeds keep all actions above. */
const PROMPT_ACTION_KINDS: readonly ActionKind[] = [{type: 'prompt-crash'}];

/** When a settings file isn't whole, and which share of it is there. */
const SETTINGS_STEPS = [
  {at: 'restart', firstShare: 0},
  {at: 'restart', firstShare: 0.5},
  {at: 'reload', firstShare: 0.5},
] as const;

const PORTS = ['callers', 'ready', 'links', 'metrics'] as const;

/** Faults at the edges of processes, drawn by themselves likewise. */
const PROCESS_ACTION_KINDS: readonly ActionKind[] = [
  {type: 'log-reader-loss'},
  {type: 'log-reader-loss'},
  {type: 'log-reader-stall'},
  ...PORTS.map(port => ({type: 'port-taken' as const, port})),
  ...SETTINGS_STEPS.map(step => ({
    type: 'settings-in-steps' as const,
    ...step,
  })),
  {type: 'reload-at-start'},
  {type: 'reload-at-start'},
  {type: 'reload-series'},
  {type: 'reload-series'},
  {type: 'unfinished-bodies'},
  {type: 'unread-responses'},
];

/** Responses that promise what the server does not say, drawn likewise. */
const RESPONSE_ACTION_KINDS: readonly ActionKind[] = [
  {type: 'server-unstated-refusals'},
];

/** Callers that leave, drawn by themselves likewise. */
const LEAVING_ACTION_KINDS: readonly ActionKind[] = [
  {type: 'leaving-crowd'},
  {type: 'leaving-crowd-in-pause'},
  {type: 'leaving-crowd-in-pause'},
];

/** Added to the seed for the kinds drawn apart. */
const LATER_SEED_OFFSET = 1_000_003;
const PROMPT_SEED_OFFSET = 2_000_003;
const SILENCE_SEED_OFFSET = 3_000_003;
const LIMIT_SEED_OFFSET = 4_000_003;
const PROCESS_SEED_OFFSET = 5_000_003;
const LEAVING_SEED_OFFSET = 6_000_003;
const RESPONSE_SEED_OFFSET = 7_000_003;

const MEAN_INTERVAL_MS = 450;
const LATER_MEAN_INTERVAL_MS = 1_200;
const PROMPT_MEAN_INTERVAL_MS = 8_000;
const PROCESS_MEAN_INTERVAL_MS = 1_000;
const LEAVING_MEAN_INTERVAL_MS = 2_000;
const RESPONSE_MEAN_INTERVAL_MS = 2_000;
const MIN_DURATION_MS = 300;
const MAX_DURATION_MS = 3_000;

interface DrawOptions extends PlanOptions {
  readonly kinds: readonly ActionKind[];
  readonly meanIntervalMs: number;
}

function drawActions(options: DrawOptions): readonly SoakAction[] {
  const {seed, durationMs, gateways, servers, kinds, meanIntervalMs} = options;
  const random = createRandom(seed);
  const randomBelow = (limit: number) => Math.floor(random() * limit);
  const count = Math.round(durationMs / meanIntervalMs);
  return Array.from({length: count}, () => {
    const kind = kinds[randomBelow(kinds.length)] ?? {type: 'gateway-reload'};
    const isServerAction = kind.type.startsWith('server');
    return {
      ...kind,
      startMs: randomBelow(durationMs),
      targetIndex: randomBelow(isServerAction ? servers : gateways),
      durationMs:
        MIN_DURATION_MS + randomBelow(MAX_DURATION_MS - MIN_DURATION_MS),
    } as SoakAction;
  });
}

/**
 * Draws the actions of a soak run in order of their start; they may overlap.
 * A seed always gives the same actions for the same options.
 */
export function planSoakActions(options: PlanOptions): readonly SoakAction[] {
  const first = drawActions({
    ...options,
    kinds: ACTION_KINDS,
    meanIntervalMs: MEAN_INTERVAL_MS,
  });
  const later = drawActions({
    ...options,
    seed: options.seed + LATER_SEED_OFFSET,
    kinds: LATER_ACTION_KINDS,
    meanIntervalMs: LATER_MEAN_INTERVAL_MS,
  });
  const prompts = drawActions({
    ...options,
    seed: options.seed + PROMPT_SEED_OFFSET,
    kinds: PROMPT_ACTION_KINDS,
    meanIntervalMs: PROMPT_MEAN_INTERVAL_MS,
  });
  const silences = planSilences({
    ...options,
    seed: options.seed + SILENCE_SEED_OFFSET,
    configChangesMs: first
      .filter(({type}) => type === 'config-change')
      .map(({startMs}) => startMs),
  });
  const limits = planLimits({
    ...options,
    seed: options.seed + LIMIT_SEED_OFFSET,
  });
  const processFaults = drawActions({
    ...options,
    seed: options.seed + PROCESS_SEED_OFFSET,
    kinds: PROCESS_ACTION_KINDS,
    meanIntervalMs: PROCESS_MEAN_INTERVAL_MS,
  });
  const leaving = drawActions({
    ...options,
    seed: options.seed + LEAVING_SEED_OFFSET,
    kinds: LEAVING_ACTION_KINDS,
    meanIntervalMs: LEAVING_MEAN_INTERVAL_MS,
  });
  const responseFaults = drawActions({
    ...options,
    seed: options.seed + RESPONSE_SEED_OFFSET,
    kinds: RESPONSE_ACTION_KINDS,
    meanIntervalMs: RESPONSE_MEAN_INTERVAL_MS,
  });
  return [
    ...first,
    ...later,
    ...prompts,
    ...silences,
    ...limits,
    ...leaving,
    ...responseFaults,
    ...(options.hasProcessFaults === false ? [] : processFaults),
  ].toSorted((a, b) => a.startMs - b.startMs);
}
