import {test} from 'node:test';
import type {CallerOutcome} from '@figfall/gateway-server/testing';
import {expect} from 'earl';
import {checkLeftCallers} from '../soak/check_left_callers.js';

const IDS = ['r1', 'r2', 'r3', 'r4'];

function outcomeOf(requestId: string): CallerOutcome {
  return {
    requestId,
    kind: 'read',
    method: 'GET',
    target: '/',
    body: '',
    workspace: 'w',
    responseBody: '',
    isComplete: false,
    endedAt: 1_000,
    hasCallerLeft: true,
    leftAt: 1_000,
  };
}

type Observations = Parameters<typeof checkLeftCallers>[0];

function observationsOf(changes: Partial<Observations>): Observations {
  return {
    outcomes: IDS.map(outcomeOf),
    arrivals: [],
    runs: [],
    linkHarms: [],
    harnessDelays: [],
    gatewayByRequestId: new Map(IDS.map(id => [id, 'g'])),
    gatewayDisruptions: [],
    ...changes,
  };
}

const arrivalsAt = (at: number) =>
  IDS.map(requestId => ({requestId, serverId: 's', at}));

const runsUntil = (endedAt: number) =>
  IDS.map(requestId => ({
    requestId,
    serverId: 's',
    at: 900,
    endedAt,
    end: 'abandoned' as const,
  }));

const PAUSE = {gateway: 'g', cause: 'pause', from: 900, to: 1_800} as const;

/** First words of the lines that are reported. */
function reported(changes: Partial<Observations>): readonly string[] {
  const lines = checkLeftCallers(observationsOf(changes));
  return lines.map(line => line.split(':')[0] ?? '');
}

test('requests sent half a second after their callers left are reported (GONE)', () => {
  const expected = IDS.map(id => `sent-after-leave ${id}`);
  expect(reported({arrivals: arrivalsAt(1_501)})).toEqual(expected);
  expect(reported({arrivals: arrivalsAt(1_499)})).toEqual([]);
});

test('a pause of the gateway does not excuse requests that it sends then', () => {
  const changes = {
    arrivals: arrivalsAt(1_801),
    gatewayDisruptions: [PAUSE],
  };
  expect(reported(changes).length).toEqual(IDS.length);
});

test('work that goes on for half a second is reported, but not while its gateway stands still', () => {
  const expected = IDS.map(id => `worked-after-leave ${id}`);
  expect(reported({runs: runsUntil(1_801)})).toEqual(expected);
  const gatewayDisruptions = [PAUSE];
  expect(reported({runs: runsUntil(1_801), gatewayDisruptions})).toEqual([]);
  const late = {runs: runsUntil(2_301), gatewayDisruptions};
  expect(reported(late)).toEqual(expected);
});

test('three requests may cross the ends of their callers', () => {
  const arrivals = arrivalsAt(1_801).slice(0, 3);
  expect(reported({arrivals})).toEqual([]);
});

test('excused time counts once where spans overlap, and only within the work', () => {
  const pauses = [PAUSE, {...PAUSE, from: 1_000}];
  const late = {runs: runsUntil(2_301), gatewayDisruptions: pauses};
  expect(reported(late).length).toEqual(IDS.length);
  const harnessDelays = [{from: 1_200, to: 1_700}];
  expect(reported({...late, harnessDelays}).length).toEqual(IDS.length);
  const later = {gateway: 'g', cause: 'pause', from: 2_400, to: 3_000} as const;
  const gatewayDisruptions = [later];
  const runs = runsUntil(1_801);
  expect(reported({runs, gatewayDisruptions}).length).toEqual(IDS.length);
});

test('what the harness and stalled links delay does not count', () => {
  const arrivals = arrivalsAt(1_801);
  const harnessDelays = [{from: 1_100, to: 1_700}];
  expect(reported({arrivals, harnessDelays})).toEqual([]);
  const linkHarms = [{serverId: 's', from: 1_100, to: 1_200}];
  expect(reported({arrivals, linkHarms})).toEqual([]);
  const elsewhere = [{serverId: 'other', from: 1_100, to: 1_200}];
  expect(reported({arrivals, linkHarms: elsewhere}).length).toEqual(4);
});
