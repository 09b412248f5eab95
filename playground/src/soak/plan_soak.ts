import {createRandom} from '../random/create_random.js';
import type {SoakAction} from './soak_action.js';

interface PlanOptions {
  readonly seed: number;
  readonly durationMs: number;
  readonly gateways: number;
  readonly servers: number;
}

type Kind = Omit<SoakAction, 'at' | 'target' | 'forMs'>;

const STORE_FAULTS = ['busy', 'limited', 'reset', 'silent'] as const;
const SERVER_FAULTS = ['errors', 'hang', 'reset', 'extra', 'cut'] as const;

/** Every kind of action, as often as it is drawn. */
const KINDS: readonly Kind[] = [
  {type: 'gateway-kill'},
  {type: 'gateway-kill'},
  {type: 'gateway-stop'},
  {type: 'gateway-stop'},
  {type: 'gateway-stop'},
  {type: 'gateway-pause'},
  {type: 'gateway-pause'},
  {type: 'gateway-reload'},
  {type: 'store-compact'},
  {type: 'store-cut'},
  {type: 'store-mute'},
  {type: 'store-delay'},
  {type: 'server-crash'},
  {type: 'server-crash'},
  {type: 'server-leave'},
  {type: 'server-leave'},
  {type: 'server-reset'},
  {type: 'server-silence'},
  {type: 'server-cut'},
  {type: 'server-mute'},
  {type: 'zone-out'},
  {type: 'config-change'},
  {type: 'config-change'},
  ...STORE_FAULTS.map(fault => ({type: 'store-fault' as const, fault})),
  ...SERVER_FAULTS.map(fault => ({type: 'server-fault' as const, fault})),
];

/** Mean milliseconds between actions. */
const GAP_MS = 450;

const FOR_MIN_MS = 300;
const FOR_MAX_MS = 3_000;

/** Draws the actions of one run; they come in series and overlap. */
export function planSoak(options: PlanOptions): readonly SoakAction[] {
  const {seed, durationMs, gateways, servers} = options;
  const random = createRandom(seed);
  const below = (count: number) => Math.floor(random() * count);
  const count = Math.round(durationMs / GAP_MS);
  return Array.from({length: count}, () => {
    const kind = KINDS[below(KINDS.length)] ?? {type: 'gateway-reload'};
    const isServer = kind.type.startsWith('server');
    return {
      ...kind,
      at: below(durationMs),
      target: below(isServer ? servers : gateways),
      forMs: FOR_MIN_MS + below(FOR_MAX_MS - FOR_MIN_MS),
    } as SoakAction;
  }).toSorted((a, b) => a.at - b.at);
}
