import {fakeStoreObjects} from '@figfall/gateway-server/testing';
import {createRandom} from '../random/create_random.js';

/** A sound entry, but for the address of a server that nobody runs. */
const SOUND = fakeStoreObjects.server({
  service: 'plain',
  port: 9,
  zone: 'nord',
  slots: 8,
  isDraining: false,
  coldMs: 0,
  bornAt: 1,
});

/** Levels of nesting beyond what a recursive encoder can take. */
const DEEP_LEVELS = 2_500;

function nested(): unknown {
  let value: unknown = 1;
  for (let i = 0; i < DEEP_LEVELS; i += 1) value = [value];
  return value;
}

const ODD_VALUES = [
  undefined,
  null,
  '',
  'x'.repeat(70_000),
  'Łódź\r\nx: y',
  -1,
  -0.5,
  1e300,
  [],
  {},
];

const ODD_ADDRESSES = [
  '127.0.0.1:0',
  '127.0.0.1:65536',
  '127.0.0.1:80800',
  '127.0.0.1:99999999999999999999',
  '127.0.0.1',
  '999.0.0.1:80',
  '[::1]:80',
  '127.0.0.1:80/x',
];

const ODD_NAMES = ['i-\u0141', 'i 1', 'i-1\r\nx: y', 'x'.repeat(300)];

/** An entry of service discovery that another program may write. */
interface OddEntry {
  readonly name: string;
  readonly value: unknown;
}

/** Draws an entry that names no server: one field of a sound entry is odd. */
export function drawOddEntry(seed: number): OddEntry {
  const random = createRandom(seed);
  const pick = <T>(values: readonly T[]): T =>
    values[Math.floor(random() * values.length)] as T;
  const name = `odd-${seed}`;
  const kinds: readonly (() => OddEntry)[] = [
    () => ({name, value: {...SOUND, address: pick(ODD_ADDRESSES)}}),
    () => ({name: `${pick(ODD_NAMES)}${seed}`, value: SOUND}),
    () => ({name, value: {...SOUND, zone: nested()}}),
    () => ({name, value: {...SOUND, address: '', more: nested()}}),
    () => ({name, value: nested()}),
    () => {
      const field = pick(Object.keys(SOUND).filter(key => key !== 'born'));
      return {name, value: {...SOUND, [field]: pick(ODD_VALUES)}};
    },
  ];
  return pick(kinds)();
}
