import {test} from 'node:test';
import {expect} from 'earl';
import {knownEvacuations} from '../known_evacuations.js';

const WERK = new Set(['werk']);
const NONE = new Set<string>();
const {applyListing, empty, all, removeExpired} = knownEvacuations;

function listWerk() {
  return applyListing(empty(), {zones: WERK, isRestored: false}, 0);
}

test('a zone that operators take back is in service at once', () => {
  const back = applyListing(listWerk(), {zones: NONE, isRestored: false}, 1);
  expect([...all(back)]).toEqual([]);
});

test('a zone stays out for a while if a restored store lacks it', () => {
  const restored = applyListing(
    listWerk(),
    {zones: NONE, isRestored: true},
    1_000,
  );
  expect([...all(restored)]).toEqual(['werk']);
  expect([...all(removeExpired(restored, 4_499))]).toEqual(['werk']);
  expect([...all(removeExpired(restored, 4_500))]).toEqual([]);
});

test('a zone that is written again can be taken back at once', () => {
  const restored = applyListing(listWerk(), {zones: NONE, isRestored: true}, 0);
  const again = applyListing(restored, {zones: WERK, isRestored: false}, 500);
  const back = applyListing(again, {zones: NONE, isRestored: false}, 900);
  expect([...all(back)]).toEqual([]);
});
