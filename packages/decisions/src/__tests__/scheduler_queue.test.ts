import {test} from 'node:test';
import {expect} from 'earl';
import {schedulerSubject} from './scheduler_subject.js';

const {createScheduler, warm, offer, dispatched, refusals} = schedulerSubject;

test('a call whose deadline can not be met is refused on arrival', () => {
  const subject = createScheduler();
  const late = {promptTokens: 50_000, totalTokens: 50_010, deadlineAt: 1_000};
  expect(refusals(offer(subject, 'a', late))).toEqual(['deadline-infeasible']);
});

test('short calls overtake long ones, but leave an overdue long call its share', () => {
  const subject = createScheduler({shortPrefillBudgetMs: 100});
  warm(subject);
  const long = {callClass: 'long', promptTokens: 40_000} as const;
  offer(subject, 'long', {...long, totalTokens: 40_010}, 2_000);
  offer(subject, 'long-2', {...long, totalTokens: 40_010}, 2_000);
  offer(subject, 's1', {}, 2_000);
  expect(dispatched(subject.commands)).toEqual(['long', 's1']);
  subject.step({type: 'first-token', callId: 's1'}, 2_010);
  const rate = 10_000;
  let overtakingTokens = 0;
  for (let now = 20_000; now < 30_000; now += 10) {
    const callId = `p${now}`;
    const sent = dispatched(offer(subject, callId, {}, now));
    overtakingTokens += sent.length * 100;
    sent.forEach(id => {
      subject.step({type: 'first-token', callId: id}, now);
      subject.step({type: 'finished', callId: id, healthy: true}, now);
    });
  }
  expect(overtakingTokens <= 10 * rate * 0.7 * 2).toEqual(true);
  expect(overtakingTokens > 0).toEqual(true);
});

test('a call queued for longer than the ageing time goes first', () => {
  const subject = createScheduler({warmMaxRunning: 2, coldMaxRunning: 2});
  offer(subject, 'a');
  offer(subject, 'b');
  subject.step({type: 'first-token', callId: 'b'}, 10);
  offer(subject, 'old', {workspace: 'busy', promptTokens: 5_000});
  offer(subject, 'new', {workspace: 'quiet', promptTokens: 1}, 5_900);
  const commands = subject.step(
    {type: 'finished', callId: 'a', healthy: true},
    6_000,
  );
  expect(dispatched(commands)).toEqual(['old']);
});

test('a pending reservation waits for running calls and blocks new ones', () => {
  const subject = createScheduler();
  offer(subject, 'a', {totalTokens: 60_000});
  const reserve = {reservationId: 'r', tokens: 80_000, expiresAt: 1_000};
  subject.step({type: 'reserve', ...reserve});
  offer(subject, 'b', {totalTokens: 30_000});
  expect(dispatched(subject.commands)).toEqual(['a']);
  const granted = subject.step({
    type: 'finished',
    callId: 'a',
    healthy: true,
  });
  expect(granted).toEqual([{type: 'reserved', reservationId: 'r'}]);
  const expired = subject.step({type: 'tick'}, 1_000);
  expect(expired).toEqual([
    {type: 'reservation-ended', reservationId: 'r'},
    {type: 'dispatch', callId: 'b', priority: 0},
  ]);
});

test('an exclusive call never runs at the same time as another', () => {
  const subject = createScheduler();
  offer(subject, 'a');
  offer(subject, 'suspect', {runsAlone: true});
  expect(dispatched(subject.commands)).toEqual(['a']);
  subject.step({type: 'finished', callId: 'a', healthy: true});
  offer(subject, 'b');
  expect(dispatched(subject.commands)).toEqual(['a', 'suspect']);
});

test('workspaces share a busy backend server fairly by tokens', () => {
  const subject = createScheduler({coldMaxRunning: 1, warmMaxRunning: 1});
  const report = {incarnation: 'a', cold: false};
  subject.step({type: 'load-report', ...report}, 0);
  subject.step({type: 'load-report', ...report}, 500);
  offer(subject, 'first');
  ['g1', 'g2', 'g3', 'g4', 'g5'].forEach(id =>
    offer(subject, id, {workspace: 'greedy', promptTokens: 1_000}),
  );
  offer(subject, 'small', {workspace: 'small', promptTokens: 100});
  const order = ['first'];
  for (let i = 0; i < 3; i++) {
    const callId = order.at(-1) ?? '';
    const done = {type: 'finished', callId, healthy: true} as const;
    order.push(...dispatched(subject.step(done, 10 + i)));
  }
  expect(order.slice(0, 3).includes('small')).toEqual(true);
});

test('no call overtakes a prefill that would miss its deadline', () => {
  const subject = createScheduler();
  warm(subject);
  const large = {promptTokens: 16_000, totalTokens: 16_010};
  offer(subject, 'large', {...large, deadlineAt: 12_000}, 2_000);
  offer(subject, 's1', {}, 3_000);
  offer(subject, 's2', {}, 9_000);
  expect(dispatched(subject.commands)).toEqual(['large', 's1']);
  subject.step({type: 'first-token', callId: 'large'}, 9_100);
  expect(dispatched(subject.commands)).toEqual(['large', 's1', 's2']);
});

test('a queued call is refused once it can not meet its deadline', () => {
  const subject = createScheduler({shortPrefillBudgetMs: 10});
  warm(subject);
  subject.step({type: 'token-interval', intervalMs: 20}, 1_000);
  offer(subject, 'runs', {promptTokens: 1_000, totalTokens: 1_020}, 1_000);
  const tight = {promptTokens: 1_000, totalTokens: 1_020, deadlineAt: 6_000};
  offer(subject, 'queued', tight, 1_000);
  subject.commands.length = 0;
  subject.step({type: 'tick'}, 5_400);
  expect(refusals(subject.commands)).toEqual([]);
  subject.step({type: 'tick'}, 5_700);
  expect(refusals(subject.commands)).toEqual(['deadline-exceeded']);
});
