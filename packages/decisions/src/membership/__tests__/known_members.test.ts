import {test} from 'node:test';
import {expect} from 'earl';
import {knownMembers} from '../known_members.js';

const ALL = knownMembers.add(new Map(), ['b', 'c', 'd', 'e'], 0);

function countAfter(linked: readonly string[], now: number): number {
  return knownMembers.count(knownMembers.update(ALL, linked, now));
}

test('a majority takes a member that is long unlinked for gone', () => {
  expect(countAfter(['b', 'c'], 20_000)).toEqual(5);
  expect(countAfter(['b', 'c'], 20_001)).toEqual(3);
});

test('a minority keeps all members', () => {
  expect(countAfter(['b'], 600_000)).toEqual(5);
  expect(countAfter([], 600_000)).toEqual(5);
});

test('a member that was heard of again keeps its time', () => {
  const again = knownMembers.add(ALL, ['b', 'f'], 15_000);
  const members = knownMembers.update(again, ['c', 'd', 'e'], 25_000);
  expect([...members.keys()].sort()).toEqual(['c', 'd', 'e', 'f']);
});
