import {test} from 'node:test';
import {expect} from 'earl';
import {schedulerFixture} from './scheduler_fixture.js';
import {schedulerSubject} from './scheduler_subject.js';

const {createScheduler, warm, offer, dispatched, refusals} = schedulerSubject;

test('a cold backend server gets no more calls than its limit', () => {
  const subject = createScheduler();
  ['a', 'b', 'c', 'd', 'e', 'f', 'g'].forEach(id => offer(subject, id));
  expect(dispatched(subject.commands)).toEqual(['a', 'b']);
  expect(refusals(subject.commands)).toEqual(['cold-start-limit']);
});

test('the limit doubles with healthy completions and drops at a restart', () => {
  const subject = createScheduler();
  warm(subject);
  expect(subject.state().coldStart.limit).toEqual(8);
  const restart = {incarnation: 'b', cold: false};
  subject.step({type: 'load-report', ...restart}, 2_000);
  expect(subject.state().coldStart.limit).toEqual(2);
});

test('no call goes to a server whose connection broke until it reports', () => {
  const subject = createScheduler();
  warm(subject);
  Array.from({length: 9}, (_, i) => `c${i}`).forEach(id =>
    offer(subject, id, {}, 2_000),
  );
  const [running = ''] = dispatched(subject.commands);
  const lost = {healthy: false, disconnected: true};
  const after = subject.step(
    {type: 'finished', callId: running, ...lost},
    2_001,
  );
  expect(dispatched(after)).toEqual([]);
  expect(dispatched(offer(subject, 'next', {}, 2_002))).toEqual([]);
  const {state} = subject;
  [...state().running.keys()].forEach(callId =>
    subject.step({type: 'finished', callId, ...lost}, 2_003),
  );
  const restarted = {incarnation: 'b', cold: false};
  const reported = subject.step({type: 'load-report', ...restarted}, 2_300);
  expect(dispatched(reported)[0]).toEqual('c8');
});

test('a server that becomes cold sheds its newest calls down to the cold limit', () => {
  const subject = createScheduler();
  warm(subject);
  ['a', 'b', 'c', 'd'].forEach((id, i) => offer(subject, id, {}, 2_000 + i));
  const commands = subject.step({type: 'connection-lost'}, 3_000);
  expect(commands).toEqual([
    {type: 'shed', callId: 'd'},
    {type: 'shed', callId: 'c'},
  ]);
});

test('slow tokens alone make a warm backend server count as cold', () => {
  const subject = createScheduler();
  warm(subject);
  const slow = {type: 'token-interval', intervalMs: 90} as const;
  subject.step({type: 'token-interval', intervalMs: 20}, 2_000);
  subject.step(slow, 2_100);
  subject.step(slow, 2_200);
  expect(subject.state().coldStart.phase).toEqual('warm');
  subject.step(slow, 2_300);
  expect(subject.state().coldStart.phase).toEqual('cold');
});

test('a zone that goes out of service refuses queued calls and dispatches none', () => {
  const subject = createScheduler();
  ['a', 'b', 'c'].forEach(id => offer(subject, id));
  const status = schedulerFixture.status({zoneInService: false});
  const commands = subject.step({type: 'server-status', status}, 10);
  expect(refusals(commands)).toEqual(['zone-out']);
  subject.step({type: 'finished', callId: 'a', healthy: true}, 20);
  offer(subject, 'd', {}, 30);
  expect(dispatched(subject.commands)).toEqual(['a', 'b']);
});

test('a refusal before dispatch reports that the call did not run', () => {
  const reasons: readonly [
    Parameters<typeof schedulerFixture.status>[0],
    string,
  ][] = [
    [{declared: false}, 'not-declared'],
    [{leaving: true}, 'leaving'],
    [{zoneInService: false}, 'zone-out'],
    [{serverInService: false}, 'server-out'],
    [{servedTargets: []}, 'model-not-loaded'],
    [{zoneLimitShare: 0}, 'zone-limit'],
  ];
  reasons.forEach(([overrides, kind]) => {
    const subject = createScheduler();
    const status = schedulerFixture.status(overrides);
    subject.step({type: 'server-status', status});
    const [refusal] = offer(subject, 'a');
    expect(refusal.type === 'refuse' && refusal.failure.kind === kind).toEqual(
      true,
    );
    expect(refusal.type === 'refuse' && refusal.failure.ran).toEqual('no');
  });
});
