import {test} from 'node:test';
import type {
  CallerOutcome,
  RequestExecution,
} from '@figfall/gateway-server/testing';
import {expect} from 'earl';
import {checkPromises} from '../soak/check_promises.js';
import type {SoakEvidence} from '../soak/soak_evidence.js';

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
};

const RUN: RequestExecution = {
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

const CLEAN: SoakEvidence = {
  outcomes: [OUTCOME],
  runs: [RUN],
  leaves: [],
  disturbed: [],
  stops: [],
  crashes: [],
  finals: [],
  heldReservations: [],
};

/** Names of the promises that are broken once something is changed. */
function broken(change: Partial<SoakEvidence>): readonly string[] {
  return checkPromises({...CLEAN, ...change}).map(
    line => line.split(' ')[0] ?? '',
  );
}

test('nothing is broken where all is as it should be', () => {
  expect(broken({})).toEqual([]);
});

test('a booking that runs twice is found', () => {
  expect(broken({runs: [RUN, {...RUN, signature: 's2'}]})).toEqual(['TWICE']);
});

test('a promise that a booking has not run is checked', () => {
  const outcomes = [{...OUTCOME, status: 503}];
  expect(broken({outcomes})).toEqual(['REFUSED']);
});

test('answers must be those that the server gave to this request', () => {
  const one = (change: Partial<CallerOutcome>) =>
    broken({outcomes: [{...OUTCOME, ...change}]});
  expect(one({responseBody: 'tex'})).toEqual(['MIXED']);
  expect(one({responseBody: 'other', isComplete: false})).toEqual(['MIXED']);
  expect(one({responseBody: 'tex', isComplete: false})).toEqual([]);
  expect(one({signature: 's9'})).toEqual(['MIXED']);
  expect(one({echoedRequestId: 'r2'})).toEqual(['MIXED']);
});

test('runs must be what a caller asked for', () => {
  const one = (change: Partial<RequestExecution>) =>
    broken({runs: [{...RUN, ...change}]});
  expect(one({hasKey: true})).toEqual(['UNASKED']);
  expect(one({workspace: 'x'})).toEqual(['UNASKED']);
  expect(one({body: 'c'})).toEqual(['UNASKED']);
  expect(broken({runs: [RUN, {...RUN, requestId: 'r7'}]})).toEqual(['UNASKED']);
});

test('a server that has left gets nothing, unless the store was disturbed', () => {
  const leaves = [{serverId: 'a', at: 0}];
  const runs = [{...RUN, at: 3_000}];
  expect(broken({leaves, runs})).toEqual(['DRAIN']);
  const disturbed = [{from: -2_000, to: -1_000}];
  expect(broken({leaves, runs, disturbed})).toEqual([]);
});

test('ends of processes, the end of the run and reservations are checked', () => {
  const stop = {gateway: 'g', tookMs: 100, code: 0};
  expect(broken({stops: [stop]})).toEqual([]);
  expect(broken({stops: [{...stop, code: 1}]})).toEqual(['STOP']);
  expect(broken({stops: [{...stop, tookMs: 9_000}]})).toEqual(['STOP']);
  expect(broken({crashes: ['g with 1']})).toEqual(['CRASH']);
  const final = {gateway: 'g', what: 'a read', expected: 200, status: 503};
  expect(broken({finals: [final]})).toEqual(['RECOVER']);
  expect(broken({heldReservations: ['t1']})).toEqual(['LEAK']);
});
