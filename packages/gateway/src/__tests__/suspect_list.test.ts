import {test} from 'node:test';
import {expect} from 'earl';
import {SuspectList} from '../core/suspect_list.js';

type KeyChange = Parameters<SuspectList['apply']>[0];

/** Parts of a prompt, of which one is shared with others. */
const KEYS = ['model/rules'];

const BLOCKED: KeyChange = {
  type: 'suspect-blocked',
  kind: 'part',
  key: 'model/rules',
  trials: 0,
  ageMs: 0,
};

function createList() {
  const clock = {now: 0};
  const list: SuspectList = new SuspectList({
    kind: 'part',
    limits: {blockMs: 60_000, suspectTtlMs: 60_000},
    answeredTtlMs: 60_000,
    now: () => clock.now,
    gatewayId: 'self',
    applyAndAnnounce: change => list.apply(change as KeyChange),
    onBlocked: () => undefined,
  });
  return {clock, list};
}

test('a gateway that is linked late hears that a part it blocked was answered', () => {
  const {list} = createList();
  list.recordAnswer(KEYS);
  list.apply(BLOCKED);
  const late = createList().list;
  late.apply(BLOCKED);
  expect(late.blockedCount()).toEqual(1);
  list.changesForNewPeer().forEach(change => late.apply(change));
  expect(late.blockedCount()).toEqual(0);
});

test('an objection ends with the time for which an answer counts', () => {
  const {list, clock} = createList();
  list.recordAnswer(KEYS);
  list.apply(BLOCKED);
  clock.now = 61_000;
  expect(list.changesForNewPeer()).toEqual([]);
});
