import type {WorkChange} from '@figfall/decisions';

/** Largest size of the changes in one message, in bytes, as estimated. */
const MESSAGE_BYTES_MAX = 262_144;

/** Estimated size of a change without lists, in bytes. */
const CHANGE_BYTES = 256;

/** Bytes of a text in a list besides its characters. */
const TEXT_BYTES = 3;

function listBytes(texts: readonly string[]): number {
  return texts.reduce((sum, text) => sum + text.length + TEXT_BYTES, 0);
}

function estimateBytes(change: WorkChange): number {
  const parts = 'parts' in change ? change.parts : [];
  const keys = 'keys' in change ? change.keys : [];
  return CHANGE_BYTES + listBytes(parts) + listBytes(keys);
}

/** Splits changes, in their order, into messages far below the limit of a frame. */
export function splitChanges(
  changes: readonly WorkChange[],
): readonly (readonly WorkChange[])[] {
  const messages: WorkChange[][] = [];
  let bytes = Infinity;
  changes.forEach(change => {
    const added = estimateBytes(change);
    if (bytes + added > MESSAGE_BYTES_MAX) {
      messages.push([]);
      bytes = 0;
    }
    messages.at(-1)?.push(change);
    bytes += added;
  });
  return messages;
}
