import {test} from 'node:test';
import {createFailure} from '@figfall/decisions';
import {expect} from 'earl';
import {attemptEvents} from './attempt_events.js';
import {gatewayFixture} from './gateway_fixture.js';

const {begin, emitEvents} = attemptEvents;

/** Longer than the usual caller of the fixture's stream waits for an event. */
const PATIENCE_MS = 2_100;

/** Time until the deadline of the fixture's requests. */
const DEADLINE_MS = 8_000;

/** Longer than the pause before a stream is offered to servers again. */
const PAUSE_MS = 600;

/** A stream whose server is lost after its first event. */
function interruptedStream(
  serverIds: readonly string[],
  options?: Parameters<typeof gatewayFixture>[1],
) {
  const fixture = gatewayFixture(serverIds, options);
  const {received} = fixture.serve('/stream/x');
  const {attempts} = fixture;
  begin(fixture, 0);
  emitEvents(fixture, 0, 0, '0');
  attempts[0]?.emit({type: 'failed', reason: 'reset'});
  const passTime = (ms: number): void => {
    fixture.clock.now += ms;
    fixture.core.tick();
  };
  const refuse = (attempt: number): void => {
    attempts[attempt]?.emit({type: 'sent'});
    attempts[attempt]?.emit({
      type: 'refused',
      failure: createFailure('queue-full', 'full'),
      unreachable: false,
    });
  };
  const complete = (attempt: number): void => {
    begin(fixture, attempt);
    emitEvents(fixture, attempt, 1, '1');
    attempts[attempt]?.emit({type: 'end'});
  };
  return {fixture, received, passTime, refuse, complete};
}

const WHOLE = {status: 200, text: '01', ended: true};

test('a stream is not cut because no server is left at the moment', () => {
  const {fixture, received, passTime, complete} = interruptedStream(['a']);
  expect(received.failure).toEqual(undefined);
  fixture.setServers('b');
  passTime(PAUSE_MS);
  complete(1);
  expect(received).toEqual(WHOLE);
});

test('a stream is not cut because four servers refuse to go on with it', () => {
  const {received, passTime, refuse, complete} = interruptedStream(
    'abcdef'.split(''),
  );
  [1, 2, 3, 4].forEach(refuse);
  expect(received.failure).toEqual(undefined);
  passTime(PAUSE_MS);
  complete(5);
  expect(received).toEqual(WHOLE);
});

test('servers that refuse a stream are not asked again without a pause', () => {
  const {fixture, received, passTime, refuse} = interruptedStream(['a', 'b']);
  Array.from({length: 20}, (_, i) => refuse(1 + i));
  expect(fixture.attempts.length).toEqual(5);
  passTime(PAUSE_MS);
  Array.from({length: 20}, (_, i) => refuse(5 + i));
  expect(fixture.attempts.length).toEqual(6);
  expect(received.failure).toEqual(undefined);
});

test('a stream is not cut before its deadline while its caller stays', () => {
  const {fixture, received, passTime} = interruptedStream(['a']);
  fixture.setServers();
  passTime(PATIENCE_MS);
  expect(received.failure).toEqual(undefined);
  passTime(DEADLINE_MS);
  expect(received.failure?.ran).toEqual('yes');
  expect(fixture.core.isBusy()).toEqual(false);
});

test('a request without an event is refused at once if no server takes it', () => {
  const fixture = gatewayFixture(['a']);
  const {received} = fixture.serve('/stream/x');
  fixture.attempts[0]?.emit({
    type: 'refused',
    failure: createFailure('queue-full', 'full'),
    unreachable: false,
  });
  expect(received.failure?.ran).toEqual('no');
});

test('a resumed stream that ends before the events passed on does not look whole (ORDER, MIXED)', () => {
  const {fixture, received} = interruptedStream(['a', 'b']);
  begin(fixture, 1);
  emitEvents(fixture, 1, -1, 'older');
  fixture.attempts[1]?.emit({type: 'end'});
  expect(received.text).toEqual('0');
  expect(received.ended).toEqual(false);
  expect(received.failure?.kind).toEqual('backend-error');
});

test('a stream whose events have a gap goes on elsewhere, or is cut, but never looks whole (ORDER)', () => {
  const fixture = gatewayFixture(['a', 'b']);
  const {received} = fixture.serve('/stream/x');
  begin(fixture, 0);
  emitEvents(fixture, 0, 0, '0');
  emitEvents(fixture, 0, 2, '2');
  expect(fixture.attempts[0]?.cancelled).toEqual(true);
  expect(fixture.attempts[1]?.req.lastEventId).toEqual(0);
  begin(fixture, 1);
  emitEvents(fixture, 1, 2, '2');
  fixture.attempts[1]?.emit({type: 'end'});
  expect(received.text).toEqual('0');
  expect(received.ended).toEqual(false);
  expect(received.failure?.kind).toEqual('backend-error');
});

/** What a server may send instead of going on with a stream. */
const ERRORS = {
  'a plain 500': {status: 500, body: 'no'},
  'a plain 404': {status: 404, body: 'no'},
  'a plain 504': {status: 504, body: 'late'},
  'an empty 204': {status: 204, body: ''},
  'a plain 200': {status: 200, body: 'HTTP/1.1 200 OK\r\n\r\nid: 1\n\n'},
};

Object.entries(ERRORS).forEach(([what, {status, body}]) => {
  test(`${what} in the place of the rest of a stream is not passed on (ORDER, MIXED)`, () => {
    const {fixture, received} = interruptedStream(['a', 'b']);
    fixture.attempts[1]?.emit({type: 'sent'});
    fixture.attempts[1]?.emit({
      type: 'response',
      head: {status, headers: []},
      body: Buffer.from(body),
    });
    expect(received.text).toEqual('0');
    expect(received.ended).toEqual(false);
    expect(received.failure?.ran).toEqual('yes');
  });
});
