import {test} from 'node:test';
import {expect} from 'earl';
import fc from 'fast-check';
import type {ConfigEntry} from '../config/config_entry.js';
import type {ConfigState} from '../config/config_state.js';
import {configStore} from '../config/config_store.js';
import {replyToDigest} from '../config/reply_to_digest.js';
import {isWatcher} from '../config/is_watcher.js';
import {testHash} from './test_hash.js';

const OPTIONS = {
  hash: testHash,
  isValid: ({value}: ConfigEntry) => value !== 'invalid',
};

function entry(key: string, version: number, value = `v${version}`) {
  return {key, version, value};
}

function merge(state: ConfigState, entries: readonly ConfigEntry[]) {
  return configStore.merge(state, entries, OPTIONS).state;
}

/** Exchanges digests and entries between two nodes. */
function exchange(a: ConfigState, b: ConfigState): [ConfigState, ConfigState] {
  const replyA = replyToDigest(a, configStore.digest(b));
  const replyB = replyToDigest(b, configStore.digest(a));
  return [merge(a, replyB.entries), merge(b, replyA.entries)];
}

test('an invalid entry leaves the last valid one applied, also on a peer', () => {
  const one = merge(configStore.empty(), [entry('zone/a', 1)]);
  const two = merge(one, [entry('zone/a', 2, 'invalid')]);
  expect(two.validEntries.get('zone/a')?.version).toEqual(1);
  const peer = merge(configStore.empty(), configStore.entriesSince(two, 0));
  expect(peer.validEntries.get('zone/a')?.version).toEqual(1);
  expect(peer.entries.get('zone/a')?.version).toEqual(2);
});

test('versions never decrease and nodes converge after an exchange', () => {
  const step = fc.record({
    a: fc.nat(3),
    b: fc.nat(3),
    key: fc.nat(4),
    write: fc.boolean(),
  });
  fc.assert(
    fc.property(fc.array(step, {maxLength: 50}), steps => {
      let version = 0;
      let nodes = [0, 1, 2, 3].map(() => configStore.empty());
      const check = (next: ConfigState[]) => {
        next.forEach((state, i) =>
          nodes[i].entries.forEach(({key, version: old}) =>
            expect((state.entries.get(key)?.version ?? 0) >= old).toEqual(true),
          ),
        );
        nodes = next;
      };
      steps.forEach(({a, b, key, write}) => {
        const next = [...nodes];
        if (write) next[a] = merge(next[a], [entry(`k${key}`, ++version)]);
        else if (a !== b) [next[a], next[b]] = exchange(next[a], next[b]);
        check(next);
      });
      for (let round = 0; round < 3; round++) {
        [0, 1, 2, 3].forEach(i => {
          const next = [...nodes];
          const j = (i + 1) % 4;
          [next[i], next[j]] = exchange(next[i], next[j]);
          check(next);
        });
      }
      const digests = nodes.map(configStore.digest);
      digests.forEach(digest => expect(digest).toEqual(digests[0]));
    }),
    {seed: 7, numRuns: 500},
  );
});

test('the number of watchers in a zone does not grow with its nodes', () => {
  const nodes = Array.from({length: 230}, (_, i) => ({
    id: `n${i}`,
    zone: i % 2 ? 'a' : 'b',
  }));
  const watchers = nodes.filter(node => isWatcher(node, nodes, testHash));
  expect(watchers.length).toEqual(4);
  expect(isWatcher({id: 'new', zone: 'a'}, nodes, testHash)).toEqual(true);
});
