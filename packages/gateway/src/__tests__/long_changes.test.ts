import {test} from 'node:test';
import type {SuspectChange, WorkChange} from '@figfall/decisions';
import {expect} from 'earl';
import {OwnLosses} from '../core/own_losses.js';
import {splitLoss} from '../core/split_loss.js';
import {splitChanges} from '../peers/split_changes.js';

type ServerLost = Extract<SuspectChange, {readonly type: 'server-lost'}>;

/** Largest frame of a link, in bytes; a longer one closes the link. */
const FRAME_BYTES_MAX = 1_048_576;

/** Longest id of a part with the name of its service, in characters. */
const KEY_LENGTH = 128;

function lossOf(serverId: string, partCount: number): ServerLost {
  return {
    type: 'server-lost',
    serverId,
    fingerprint: 'f',
    parts: Array.from({length: partCount}, (_, i) =>
      `${serverId}/${i}`.padEnd(KEY_LENGTH, 'x'),
    ),
    heldMs: 1,
    hadEvents: false,
  };
}

// Guards against frames over the limit, which close the link to a gateway.
test('the losses of prompts with thousands of parts fit into the frames of a link', () => {
  const losses = Array.from({length: 20}, (_, i) => lossOf(`s${i}`, 4_000));
  const changes: readonly WorkChange[] = losses.flatMap(splitLoss);
  const messages = splitChanges(changes);
  expect(messages.flat()).toEqual([...changes]);
  expect(
    messages.every(message => JSON.stringify(message).length < FRAME_BYTES_MAX),
  ).toEqual(true);
});

test('changes without long lists stay in one message', () => {
  const changes = Array.from({length: 100}, (_, i) => lossOf(`s${i}`, 3));
  expect(splitChanges(changes).length).toEqual(1);
  expect(splitChanges([])).toEqual([]);
  expect(splitLoss(lossOf('s', 0)).length).toEqual(1);
});

test('what was lost is kept for a while, the newest first and in bounds', () => {
  const losses = new OwnLosses();
  Array.from({length: 20}, (_, i) => losses.add(lossOf(`s${i}`, 4_000), i));
  const kept = losses.recent(1_000);
  expect(kept.map(({serverId}) => serverId)).toEqual([
    's16',
    's17',
    's18',
    's19',
  ]);
  expect(kept.map(({ageMs}) => ageMs)).toEqual([984, 983, 982, 981]);
  expect(losses.recent(60_000)).toEqual([]);
});
