import {test} from 'node:test';
import {expect} from 'earl';
import {scheduler} from '../scheduler/scheduler.js';
import type {SchedulerCommand} from '../scheduler/scheduler_command.js';
import type {SchedulerEvent} from '../scheduler/scheduler_event.js';
import type {SchedulerOptions} from '../scheduler/scheduler_options.js';
import {schedulerFixture} from './scheduler_fixture.js';

/** Runs events through a scheduler and records its commands. */
function createScheduler(overrides: Partial<SchedulerOptions> = {}) {
  const options = schedulerFixture.options(overrides);
  let state = scheduler.create(schedulerFixture.status(), options, 0);
  const commands: SchedulerCommand[] = [];
  return {
    commands,
    state: () => state,
    step(event: SchedulerEvent, now = 0): readonly SchedulerCommand[] {
      const next = scheduler.step(state, event, options, now);
      state = next.state;
      commands.push(...next.commands);
      return next.commands;
    },
  };
}

type TestScheduler = ReturnType<typeof createScheduler>;

function warm(subject: TestScheduler): void {
  const report = {type: 'load-report', incarnation: 'a', cold: false};
  subject.step({...report, type: 'load-report'}, 0);
  subject.step({...report, type: 'load-report'}, 1_000);
  Array.from({length: 16}, (_, i) => `warm-${i}`).forEach(callId => {
    offer(subject, callId, {}, 1_000);
    subject.step({type: 'first-token', callId}, 1_000);
    subject.step({type: 'finished', callId, healthy: true}, 1_000);
  });
  subject.commands.length = 0;
}

function offer(
  subject: TestScheduler,
  callId: string,
  overrides: Parameters<typeof schedulerFixture.call>[1] = {},
  now = 0,
): readonly SchedulerCommand[] {
  const call = schedulerFixture.call(callId, {arrivedAt: now, ...overrides});
  return subject.step({type: 'offer', call, weight: 1}, now);
}

function dispatched(commands: readonly SchedulerCommand[]): string[] {
  return commands.flatMap(command =>
    command.type === 'dispatch' ? [command.callId] : [],
  );
}

function refusals(commands: readonly SchedulerCommand[]): string[] {
  return commands.flatMap(command =>
    command.type === 'refuse' ? [command.failure.kind] : [],
  );
}

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
