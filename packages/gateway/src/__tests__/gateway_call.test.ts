import {test} from 'node:test';
import {createFailure} from '@figfall/decisions';
import {expect} from 'earl';
import type {ResponseHead} from '../ports/response_head.js';
import {gatewayFixture} from './gateway_fixture.js';

function head(status: number): ResponseHead {
  return {status, headers: [], isCloseDelimited: false};
}

test('a stream after an attempt that answered 500 ends as a stream', () => {
  const {attempts, serve} = gatewayFixture();
  const {seen} = serve('/stream/x');
  attempts[0]?.emit({type: 'sent'});
  attempts[0]?.emit({
    type: 'response',
    head: head(500),
    body: Buffer.from('no'),
  });
  attempts[1]?.emit({type: 'sent'});
  attempts[1]?.emit({type: 'head', head: head(200)});
  attempts[1]?.emit({type: 'events', firstId: 0, texts: ['one', 'two']});
  attempts[1]?.emit({type: 'end'});
  expect(seen).toEqual({status: 200, text: 'onetwo', ended: true});
});

test('a stream that breaks off goes on at another server without a gap', () => {
  const {attempts, serve} = gatewayFixture();
  const {seen} = serve('/stream/x');
  attempts[0]?.emit({type: 'sent'});
  attempts[0]?.emit({type: 'head', head: head(200)});
  attempts[0]?.emit({type: 'events', firstId: 5, texts: ['5', '6']});
  attempts[0]?.emit({type: 'failed', reason: 'reset'});
  expect(attempts[1]?.req.lastEventId).toEqual(6);
  expect(attempts[1]?.req.server.id).not.toEqual(attempts[0]?.req.server.id);
  attempts[1]?.emit({type: 'sent'});
  attempts[1]?.emit({type: 'head', head: head(200)});
  attempts[1]?.emit({type: 'events', firstId: 6, texts: ['6', '7']});
  attempts[1]?.emit({type: 'end'});
  expect(seen).toEqual({status: 200, text: '567', ended: true});
});

test('a stream that goes on with a plain answer is broken off', () => {
  const {attempts, serve} = gatewayFixture();
  const {seen} = serve('/stream/x');
  attempts[0]?.emit({type: 'sent'});
  attempts[0]?.emit({type: 'head', head: head(200)});
  attempts[0]?.emit({type: 'events', firstId: 0, texts: ['0']});
  attempts[0]?.emit({type: 'failed', reason: 'reset'});
  attempts[1]?.emit({type: 'sent'});
  attempts[1]?.emit({
    type: 'response',
    head: head(500),
    body: Buffer.from('no'),
  });
  expect(seen.text).toEqual('0');
  expect(seen.ended).toEqual(false);
  expect(seen.failure?.ran).toEqual('yes');
});

test('a request that may not repeat is sent once after it may have run', () => {
  const {attempts, serve} = gatewayFixture();
  const {seen} = serve('/book/x');
  attempts[0]?.emit({type: 'sent'});
  attempts[0]?.emit({type: 'failed', reason: 'reset'});
  expect(attempts.length).toEqual(1);
  expect(seen.failure?.ran).toEqual('unknown');
});

test('a request that may not repeat goes elsewhere after a refusal', () => {
  const {attempts, serve} = gatewayFixture();
  const {seen} = serve('/book/x');
  attempts[0]?.emit({type: 'sent'});
  attempts[0]?.emit({
    type: 'refused',
    failure: createFailure('queue-full', 'full'),
    unreachable: false,
  });
  attempts[1]?.emit({type: 'sent'});
  attempts[1]?.emit({
    type: 'response',
    head: head(200),
    body: Buffer.from('ok'),
  });
  expect(seen).toEqual({status: 200, text: 'ok', ended: true});
});

test('a server that answers 504 at the deadline is not followed by another', () => {
  const {attempts, serve} = gatewayFixture();
  const {seen} = serve('/read/x');
  attempts[0]?.emit({type: 'sent'});
  attempts[0]?.emit({type: 'response', head: head(504), body: Buffer.alloc(0)});
  expect(attempts.length).toEqual(1);
  expect(seen.status).toEqual(504);
});

test('the last failing answer of a server reaches the caller', () => {
  const {attempts, serve} = gatewayFixture();
  const {seen} = serve('/read/x');
  [0, 1].forEach(i => {
    attempts[i]?.emit({type: 'sent'});
    attempts[i]?.emit({
      type: 'response',
      head: head(500),
      body: Buffer.from(`${i}`),
    });
  });
  expect(seen).toEqual({status: 500, text: '1', ended: true});
});

test('a silent server is given up only while another may be asked', () => {
  const {attempts, serve, core, clock} = gatewayFixture();
  const {seen} = serve('/stream/x');
  attempts[0]?.emit({type: 'sent'});
  clock.now += 3_000;
  core.tick();
  expect(attempts.length).toEqual(2);
  attempts[1]?.emit({type: 'sent'});
  clock.now += 3_000;
  core.tick();
  expect(attempts[1]?.cancelled).toEqual(false);
  expect(seen.failure).toEqual(undefined);
});

test('a caller that leaves ends the attempt', () => {
  const {attempts, serve, core} = gatewayFixture();
  const {call} = serve('/stream/x');
  attempts[0]?.emit({type: 'sent'});
  call.handleDisconnect();
  expect(attempts[0]?.cancelled).toEqual(true);
  expect(core.isBusy()).toEqual(false);
});

test('a request past its deadline is answered and its attempt ended', () => {
  const {attempts, serve, core, clock} = gatewayFixture();
  const {seen} = serve('/book/x');
  attempts[0]?.emit({type: 'sent'});
  clock.now += 8_000;
  core.tick();
  expect(seen.failure?.kind).toEqual('deadline-exceeded');
  expect(attempts[0]?.cancelled).toEqual(true);
});

test('a server that lost a helper is not blamed, the helper is', () => {
  const {attempts, serve, fleet} = gatewayFixture(['a', 'b', 'c']);
  serve('/stream/x');
  attempts[0]?.emit({type: 'sent'});
  const blamed: string[] = [];
  fleet.recordUnreachable = address => blamed.push(address);
  attempts[0]?.emit({
    type: 'refused',
    failure: createFailure('queue-full', 'a helper is gone'),
    unreachable: false,
    faultyAddress: '10.0.0.9:80',
  });
  expect(blamed).toEqual(['10.0.0.9:80']);
});

test('refusals end after a few servers', () => {
  const {attempts, serve} = gatewayFixture(['a', 'b', 'c', 'd', 'e', 'f']);
  const {seen} = serve('/book/x');
  const refuse = (i: number): void => {
    attempts[i]?.emit({type: 'sent'});
    attempts[i]?.emit({
      type: 'refused',
      failure: createFailure('queue-full', 'full'),
      unreachable: false,
    });
  };
  [0, 1, 2, 3, 4, 5].forEach(refuse);
  expect(attempts.length).toEqual(4);
  expect(seen.failure?.ran).toEqual('no');
});

test('an entry that shuts down refuses what it could not finish', () => {
  const {attempts, serve, core} = gatewayFixture();
  core.startShutdown();
  serve('/book/x');
  expect(attempts.length).toEqual(1);
  core.rejectNewRequests();
  const {seen} = serve('/book/y');
  expect(attempts.length).toEqual(1);
  expect(seen.failure?.kind).toEqual('leaving');
  expect(seen.failure?.ran).toEqual('no');
});

test('a request that breaks one server after the other is refused unsent', () => {
  const {attempts, serve, clock} = gatewayFixture(['a', 'b', 'c', 'd']);
  const breakOff = (i: number): void => {
    attempts[i]?.emit({type: 'sent'});
    clock.now += 10;
    attempts[i]?.emit({type: 'failed', reason: 'reset'});
  };
  serve('/read/poison');
  breakOff(0);
  breakOff(1);
  serve('/read/poison');
  breakOff(2);
  const sent = attempts.length;
  const {seen} = serve('/read/poison', {requestId: 'r9'});
  expect(attempts.length).toEqual(sent);
  expect(seen.failure?.kind).toEqual('suspect-request');
  expect(seen.failure?.ran).toEqual('no');
  serve('/read/other');
  expect(attempts.length).toEqual(sent + 1);
});

test('a refusal for lack of servers says which there are', () => {
  const {serve, fleet} = gatewayFixture(['a', 'b']);
  fleet.setEvacuatedZones(new Set(['nord']));
  const {seen} = serve('/book/x');
  expect(seen.failure?.kind).toEqual('no-backend-server');
  expect(seen.failure?.message).toEqual(
    'No backend server of plain can take the request now. Listed: 2, ready: 2, in zones that are out: 2, avoided: 0.',
  );
});

test('a request that comes before the configuration waits for it', () => {
  const {attempts, serve, inform} = gatewayFixture(['a'], false);
  const {seen} = serve('/book/x');
  const {call} = serve('/book/y');
  call.handleDisconnect();
  expect(seen.failure).toEqual(undefined);
  inform();
  expect(attempts.map(({req}) => req.target)).toEqual(['/book/x']);
});

test('a request is refused where no configuration comes', () => {
  const {serve, core, clock} = gatewayFixture(['a'], false);
  const {seen} = serve('/book/x');
  clock.now += 499;
  core.tick();
  expect(seen.failure).toEqual(undefined);
  clock.now += 1;
  core.tick();
  expect(seen.failure?.kind).toEqual('not-ready');
  expect(seen.failure?.ran).toEqual('no');
  expect(serve('/book/y').seen.failure?.kind).toEqual('not-ready');
});
