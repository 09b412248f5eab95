import {test} from 'node:test';
import type {
  CallerOutcome,
  RequestExecution,
} from '@figfall/gateway-server/testing';
import {expect} from 'earl';
import {checkInvariants} from '../soak/check_invariants.js';
import type {SoakObservations} from '../soak/soak_observations.js';

const OUTCOME: CallerOutcome = {
  requestId: 'r1',
  kind: 'book',
  method: 'POST',
  target: '/book/r1',
  body: 'b',
  workspace: 'w',
  status: 200,
  signature: 's1',
  echoedRequestId: 'r1',
  responseBody: 'text',
  isComplete: true,
  sentWholeAt: 0,
  endedAt: 20,
  hasCallerLeft: false,
};

const EXECUTION: RequestExecution = {
  requestId: 'r1',
  serverId: 'a',
  method: 'POST',
  target: '/book/r1',
  body: 'b',
  workspace: 'w',
  hasKey: false,
  signature: 's1',
  responseBody: 'text',
  at: 5,
};

const NO_VIOLATIONS: SoakObservations = {
  outcomes: [OUTCOME],
  executions: [EXECUTION],
  arrivals: [],
  runs: [],
  linkHarms: [],
  harnessDelays: [],
  noticeResponses: [],
  gatewayByRequestId: new Map([
    ['r1', 'g'],
    ['r2', 'g'],
    ['r3', 'g'],
    ['r4', 'g'],
    ['r5', 'other'],
  ]),
  sentAtByRequestId: new Map(),
  gatewayDisruptions: [],
  drains: [],
  disruptions: [],
  stops: [],
  promptCrashes: [],
  crashingPartByRequestId: new Map(),
  unexpectedExits: [],
  memory: [],
  finalRequests: [],
  leakedReservationIds: [],
};

/** Returns the invariants that a change of the observations violates. */
function violated(change: Partial<SoakObservations>): readonly string[] {
  return checkInvariants({...NO_VIOLATIONS, ...change}).map(
    line => line.split(' ')[0] ?? '',
  );
}

test('correct observations violate no invariant', () => {
  expect(violated({})).toEqual([]);
});

test('a booking that runs twice is a violation', () => {
  expect(
    violated({executions: [EXECUTION, {...EXECUTION, signature: 's2'}]}),
  ).toEqual(['duplicate-execution']);
});

test('a booking that runs after a refusal is a violation', () => {
  const outcomes = [{...OUTCOME, status: 503}];
  expect(violated({outcomes})).toEqual(['executed-after-refusal']);
});

test('a response must be the one that the server gave to this request', () => {
  const violatedWith = (change: Partial<CallerOutcome>) =>
    violated({outcomes: [{...OUTCOME, ...change}]});
  expect(violatedWith({responseBody: 'tex'})).toEqual(['response-mismatch']);
  const left = {isComplete: false, hasCallerLeft: true};
  expect(violatedWith({...left, responseBody: 'other'})).toEqual([
    'response-mismatch',
  ]);
  expect(violatedWith({...left, responseBody: 'tex'})).toEqual([]);
  expect(violatedWith({signature: 's9'})).toEqual(['response-mismatch']);
  expect(violatedWith({echoedRequestId: 'r2'})).toEqual(['response-mismatch']);
});

test('an executed request must be the one that a caller sent', () => {
  const violatedWith = (change: Partial<RequestExecution>) =>
    violated({executions: [{...EXECUTION, ...change}]});
  expect(violatedWith({hasKey: true})).toEqual(['request-mismatch']);
  expect(violatedWith({workspace: 'x'})).toEqual(['request-mismatch']);
  expect(violatedWith({body: 'c'})).toEqual(['request-mismatch']);
  expect(
    violated({executions: [EXECUTION, {...EXECUTION, requestId: 'r7'}]}),
  ).toEqual(['request-mismatch']);
});

test('a drained server gets no requests unless the store was disrupted', () => {
  const drains = [{serverId: 'a', startedAt: 0}];
  const executions = [{...EXECUTION, at: 3_000}];
  expect(violated({drains, executions})).toEqual(['executed-after-drain']);
  const disruptions = [{from: -2_000, to: -1_000}];
  expect(violated({drains, executions, disruptions})).toEqual([]);
});

test('a gateway that was told that a server leaves sends nothing there', () => {
  const notice = {
    requestId: 'r1',
    serverId: 'a',
    at: 0,
    isLeaving: true,
    pauseMs: 0,
  };
  const violatedBy = (
    requestId: string,
    at: number,
    restartedAt = Infinity,
  ): readonly string[] =>
    violated({
      noticeResponses: [notice],
      arrivals: [{requestId, serverId: 'a', at}],
      gatewayDisruptions: [
        {gateway: 'g', cause: 'kill', from: restartedAt, to: restartedAt + 1},
      ],
    });
  expect(violatedBy('r2', 2_001)).toEqual(['sent-to-leaving']);
  expect(violatedBy('r2', 1_999)).toEqual([]);
  expect(violatedBy('r5', 2_001)).toEqual([]);
  expect(violatedBy('r2', 2_001, 1_000)).toEqual([]);
});

test('two requests of a gateway at most may slip through during a pause', () => {
  const notice = {
    requestId: 'r1',
    serverId: 'a',
    at: 0,
    isLeaving: false,
    pauseMs: 2_000,
  };
  const violatedBy = (count: number, at: number): readonly string[] =>
    violated({
      noticeResponses: [notice],
      arrivals: ['r2', 'r3', 'r4']
        .slice(0, count)
        .map(requestId => ({requestId, serverId: 'a', at})),
    });
  expect(violatedBy(3, 600)).toEqual(['sent-during-pause']);
  expect(violatedBy(2, 600)).toEqual([]);
  expect(violatedBy(3, 400)).toEqual([]);
  expect(violatedBy(3, 2_100)).toEqual([]);
});

test('prompts with a part that crashes servers must stop being sent', () => {
  const promptCrashes = [0, 10, 20, 30, 40].map(at => ({part: 'p', at}));
  const ids = ['r1', 'r2', 'r3', 'r4'];
  const crashingPartByRequestId = new Map(ids.map(id => [id, 'p']));
  const arrivalsAt = (at: number, count: number) =>
    ids.slice(0, count).map(requestId => ({requestId, serverId: 'a', at}));
  const violatedBy = (at: number, count: number, crashes = promptCrashes) =>
    violated({
      promptCrashes: crashes,
      crashingPartByRequestId,
      arrivals: arrivalsAt(at, count),
    });
  expect(violatedBy(3_041, 4)).toEqual(['sent-crashing-part']);
  expect(violatedBy(3_041, 3)).toEqual([]);
  expect(violatedBy(3_039, 4)).toEqual([]);
  expect(violatedBy(3_041, 4, promptCrashes.slice(0, 4))).toEqual([]);
  const paused = {
    gateway: 'g',
    cause: 'pause' as const,
    from: 2_000,
    to: 2_500,
  };
  expect(
    violated({
      promptCrashes,
      crashingPartByRequestId,
      arrivals: arrivalsAt(3_041, 4),
      gatewayDisruptions: [paused],
    }),
  ).toEqual([]);
});

test('prompts without the part that crashes servers must not be refused with it', () => {
  const promptCrashes = [0, 10, 20, 30, 40].map(at => ({part: 'p', at}));
  const prompts = (count: number, refused: number) =>
    Array.from({length: count}, (_, i) => ({
      ...OUTCOME,
      requestId: `s${i}`,
      kind: 'stream' as const,
      status: 503,
      responseBody: `{"error":{"kind":"${i < refused ? 'suspect-request' : 'queue-full'}"}}`,
    }));
  const violatedBy = (at: number, outcomes: readonly CallerOutcome[]) =>
    violated({
      promptCrashes,
      outcomes,
      executions: [],
      crashingPartByRequestId: new Map([['c1', 'p']]),
      sentAtByRequestId: new Map([
        ['c1', 9_000],
        ...outcomes.map(({requestId}) => [requestId, at] as const),
      ]),
    });
  expect(violatedBy(6_041, prompts(20, 11))).toEqual(['refused-sound-prompts']);
  expect(violatedBy(6_041, prompts(20, 10))).toEqual([]);
  expect(violatedBy(6_041, prompts(19, 19))).toEqual([]);
  expect(violatedBy(6_039, prompts(20, 20))).toEqual([]);
  expect(violatedBy(9_001, prompts(20, 20))).toEqual([]);
});

test('exits, final requests and leaked reservations are checked', () => {
  const stop = {gateway: 'g', from: 0, durationMs: 100, exitCode: 0};
  expect(violated({stops: [stop]})).toEqual([]);
  expect(violated({stops: [{...stop, exitCode: 1}]})).toEqual(['failed-stop']);
  expect(violated({stops: [{...stop, durationMs: 9_000}]})).toEqual([
    'failed-stop',
  ]);
  expect(violated({unexpectedExits: ['g exited with 1']})).toEqual([
    'unexpected-exit',
  ]);
  const finalRequest = {
    gateway: 'g',
    description: 'a read',
    expectedStatus: 200,
    status: 503,
  };
  expect(violated({finalRequests: [finalRequest]})).toEqual(['not-recovered']);
  expect(violated({leakedReservationIds: ['t1']})).toEqual([
    'leaked-reservation',
  ]);
});

function limitNotice(requestId: string, at: number) {
  const notice = {serverId: 'a', isLeaving: false, pauseMs: 0};
  return {...notice, requestId, at, limitPerSecond: 1};
}

/** Requests of gateway `g` to a server that named a limit of 1 a second. */
function arrivalsAt(count: number, from: number) {
  return Array.from({length: count}, (_, i) => ({
    requestId: 'r1',
    serverId: 'a',
    at: from + i * 100,
  }));
}

test('more requests than a server takes from all gateways are reported', () => {
  const noticeResponses = [limitNotice('r1', 1_000), limitNotice('r2', 9_000)];
  const check = (change: Partial<SoakObservations>) =>
    checkInvariants({...NO_VIOLATIONS, noticeResponses, ...change}).filter(
      line => line.startsWith('sent-over-limit'),
    ).length;
  expect(check({arrivals: arrivalsAt(12, 5_000)})).toEqual(1);
  expect(check({arrivals: arrivalsAt(11, 5_000)})).toEqual(0);
  expect(check({arrivals: arrivalsAt(12, 1_000)})).toEqual(0);
  expect(check({arrivals: arrivalsAt(30, 9_100)})).toEqual(0);
  const gatewayDisruptions = [
    {gateway: 'g', cause: 'pause' as const, from: 4_000, to: 4_500},
  ];
  const arrivals = arrivalsAt(12, 5_000);
  expect(check({arrivals, gatewayDisruptions})).toEqual(0);
});

test('requests of gateways that were not told of a limit do not count', () => {
  const noticeResponses = [limitNotice('r5', 1_000), limitNotice('r5', 9_000)];
  const arrivals = arrivalsAt(12, 5_000);
  const observations = {...NO_VIOLATIONS, noticeResponses, arrivals};
  expect(checkInvariants(observations)).toEqual([]);
});

test('a gateway must not exceed the memory of its machine', () => {
  const violatedAt = (peakMb: number) =>
    violated({memory: [{gateway: 'g', peakMb, limitMb: 350}]});
  expect(violatedAt(350.1)).toEqual(['memory-over-limit']);
  expect(violatedAt(350)).toEqual([]);
});
