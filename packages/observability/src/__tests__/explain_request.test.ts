import {test} from 'node:test';
import {expect} from 'earl';
import {explainRequest} from '../explain/explain_request.js';

function line(
  ms: number,
  message: string,
  fields: object = {},
  node = 'front-1',
): string {
  const time = new Date(1_000_000 + ms).toISOString();
  const head = {time, level: 'info', node, scope: 'gateway', message};
  return JSON.stringify({...head, ...fields});
}

async function explain(lines: readonly string[], id = 'r1') {
  async function* read() {
    yield* lines;
  }
  return explainRequest(read, id);
}

const PLACED = line(0, 'request placed', {requestId: 'r1', serverId: 'a'});

test('lines that may show the cause are included, in order of time', async () => {
  const lines = await explain([
    line(900, 'request ended', {
      requestId: 'r1',
      result: 'backend-lost',
      ran: 'unknown',
      reason: 'reset',
    }),
    PLACED,
    line(-2_000, 'server changed', {serverId: 'a', state: 'draining'}),
    line(-2_000, 'server changed', {serverId: 'b', state: 'draining'}),
    line(500, 'zones out', {zones: 'werk'}),
    line(500, 'zones out', {zones: 'sued'}, 'front-2'),
    line(-60_000, 'store lost', {kind: 'servers'}),
  ]);
  expect(lines?.map(text => text.replace(/ +/g, ' '))).toEqual([
    ' -2.000 s front-1 server changed serverId=a state=draining',
    '* +0.000 s front-1 request placed requestId=r1 serverId=a',
    ' +0.500 s front-1 zones out zones=werk',
    '* +0.900 s front-1 request ended requestId=r1 result=backend-lost ran=unknown reason=reset',
    '',
    'It failed as backend-lost: reset It may have run, so it was not sent again.',
  ]);
});

test('prefixes of a log collector and foreign lines are skipped', async () => {
  const lines = await explain([`12.5 front-1 ${PLACED}`, 'noise', '{"cut":']);
  expect(lines?.length).toEqual(3);
  expect(
    lines?.at(-1)?.startsWith('The log does not show how it ended'),
  ).toEqual(true);
});

test('lines on reservations of a request belong to the request', async () => {
  const ownOrder = line(5, 'order sent', {reservationId: 'r1.1', status: 409});
  const otherOrder = line(5, 'order sent', {
    reservationId: 'r12.1',
    status: 409,
  });
  const lines = await explain([PLACED, ownOrder, otherOrder]);
  expect(lines?.length).toEqual(4);
});

test('an unknown request id has no explanation', async () => {
  expect(await explain([PLACED], 'r9')).toEqual(undefined);
});
