import type {SuspectChange} from '@figfall/decisions';

type ServerLost = Extract<SuspectChange, {readonly type: 'server-lost'}>;

/** Parts of a prompt that one change names. */
const PARTS_MAX = 1_024;

/** Splits a loss into changes that other gateways take for the same loss. */
export function splitLoss(loss: ServerLost): readonly ServerLost[] {
  const {parts} = loss;
  const count = Math.max(1, Math.ceil(parts.length / PARTS_MAX));
  return Array.from({length: count}, (_, i) => ({
    ...loss,
    parts: parts.slice(i * PARTS_MAX, (i + 1) * PARTS_MAX),
  }));
}
