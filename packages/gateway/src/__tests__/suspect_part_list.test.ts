import {test} from 'node:test';
import {expect} from 'earl';
import type {CallSpec} from '../calls/call_spec.js';
import {SuspectPartList} from '../core/suspect_part_list.js';

type PartChange = Parameters<SuspectPartList['apply']>[0];

/** A request whose prompt shares one part with others. */
const SPEC = {
  service: {name: 'model'},
  req: {prompt: {sharedParts: ['rules']}},
} as unknown as CallSpec;

const BLOCKED: PartChange = {
  type: 'part-blocked',
  part: 'model/rules',
  trials: 0,
  ageMs: 0,
};

function createList() {
  const clock = {now: 0};
  const list: SuspectPartList = new SuspectPartList({
    now: () => clock.now,
    applyAndAnnounce: change => list.apply(change as PartChange),
    onPartBlocked: () => undefined,
  });
  return {clock, list};
}

test('a gateway that is linked late hears that a part it blocked was answered', () => {
  const {list} = createList();
  list.recordAnswer(SPEC);
  list.apply(BLOCKED);
  const late = createList().list;
  late.apply(BLOCKED);
  expect(late.blockedCount()).toEqual(1);
  list.changesForNewPeer().forEach(change => late.apply(change));
  expect(late.blockedCount()).toEqual(0);
});

test('an objection ends with the time for which an answer counts', () => {
  const {list, clock} = createList();
  list.recordAnswer(SPEC);
  list.apply(BLOCKED);
  clock.now = 61_000;
  expect(list.changesForNewPeer()).toEqual([]);
});
