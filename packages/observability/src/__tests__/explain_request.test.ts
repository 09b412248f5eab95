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

test('a story has the lines that may tell the cause, in order of time', async () => {
  const story = await explain([
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
  expect(story?.map(text => text.replace(/ +/g, ' '))).toEqual([
    ' -2.000 s front-1 server changed serverId=a state=draining',
    '* +0.000 s front-1 request placed requestId=r1 serverId=a',
    ' +0.500 s front-1 zones out zones=werk',
    '* +0.900 s front-1 request ended requestId=r1 result=backend-lost ran=unknown reason=reset',
    '',
    'It failed as backend-lost: reset It may have run, so it was not sent again.',
  ]);
});

test('a collector may write something before each line, and other lines', async () => {
  const story = await explain([`12.5 front-1 ${PLACED}`, 'noise', '{"cut":']);
  expect(story?.length).toEqual(3);
  expect(story?.at(-1)?.startsWith('No line tells its end')).toEqual(true);
});

test('reservations of a request belong to its story', async () => {
  const order = line(5, 'order sent', {reservationId: 'r1.1', status: 409});
  const other = line(5, 'order sent', {reservationId: 'r12.1', status: 409});
  const story = await explain([PLACED, order, other]);
  expect(story?.length).toEqual(4);
});

test('an id without lines has no story', async () => {
  expect(await explain([PLACED], 'r9')).toEqual(undefined);
});
