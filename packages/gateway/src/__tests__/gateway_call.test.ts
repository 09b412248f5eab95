import {test} from 'node:test';
import {createFailure} from '@figfall/decisions';
import {expect} from 'earl';
import type {ResponseHead} from '../ports/response_head.js';
import {gatewayFixture} from './gateway_fixture.js';

function head(status: number): ResponseHead {
  return {status, headers: []};
}

test('a stream after a failed first attempt is passed on as a stream', () => {
  const {attempts, serve} = gatewayFixture();
  const {received} = serve('/stream/x');
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
  expect(received).toEqual({status: 200, text: 'onetwo', ended: true});
});

test('an interrupted stream resumes elsewhere without gap or repeat', () => {
  const {attempts, serve} = gatewayFixture();
  const {received} = serve('/stream/x');
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
  expect(received).toEqual({status: 200, text: '567', ended: true});
});

test('a stream is aborted if the retry returns a plain response', () => {
  const {attempts, serve} = gatewayFixture();
  const {received} = serve('/stream/x');
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
  expect(received.text).toEqual('0');
  expect(received.ended).toEqual(false);
  expect(received.failure?.ran).toEqual('yes');
});

test('a non-idempotent request is not retried once it may have run', () => {
  const {attempts, serve} = gatewayFixture();
  const {received} = serve('/book/x');
  attempts[0]?.emit({type: 'sent'});
  attempts[0]?.emit({type: 'failed', reason: 'reset'});
  expect(attempts.length).toEqual(1);
  expect(received.failure?.ran).toEqual('unknown');
});

test('a refused non-idempotent request is sent to another server', () => {
  const {attempts, serve} = gatewayFixture();
  const {received} = serve('/book/x');
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
  expect(received).toEqual({status: 200, text: 'ok', ended: true});
});

test('a 504 of a backend server at the deadline is not retried', () => {
  const {attempts, serve} = gatewayFixture();
  const {received} = serve('/read/x');
  attempts[0]?.emit({type: 'sent'});
  attempts[0]?.emit({type: 'response', head: head(504), body: Buffer.alloc(0)});
  expect(attempts.length).toEqual(1);
  expect(received.status).toEqual(504);
});

test('the last error response of a backend server reaches the caller', () => {
  const {attempts, serve} = gatewayFixture();
  const {received} = serve('/read/x');
  [0, 1].forEach(i => {
    attempts[i]?.emit({type: 'sent'});
    attempts[i]?.emit({
      type: 'response',
      head: head(500),
      body: Buffer.from(`${i}`),
    });
  });
  expect(received).toEqual({status: 500, text: '1', ended: true});
});

test('a silent attempt gets another beside it only if the route allows it', () => {
  const {attempts, serve, core, clock} = gatewayFixture();
  const {received} = serve('/stream/x');
  attempts[0]?.emit({type: 'sent'});
  clock.now += 3_000;
  core.tick();
  expect(attempts.length).toEqual(2);
  attempts[1]?.emit({type: 'sent'});
  clock.now += 3_000;
  core.tick();
  expect(attempts[1]?.cancelled).toEqual(false);
  expect(received.failure).toEqual(undefined);
});

test('a caller that disconnects cancels the attempt', () => {
  const {attempts, serve, core} = gatewayFixture();
  const {call} = serve('/stream/x');
  attempts[0]?.emit({type: 'sent'});
  call.handleDisconnect();
  expect(attempts[0]?.cancelled).toEqual(true);
  expect(core.isBusy()).toEqual(false);
});

test('a request past its deadline fails and its attempt is cancelled', () => {
  const {attempts, serve, core, clock} = gatewayFixture();
  const {received} = serve('/book/x');
  attempts[0]?.emit({type: 'sent'});
  clock.now += 8_000;
  core.tick();
  expect(received.failure?.kind).toEqual('deadline-exceeded');
  expect(attempts[0]?.cancelled).toEqual(true);
});

test('an unreachable helper is recorded, not the server that refused', () => {
  const {attempts, serve, fleet} = gatewayFixture(['a', 'b', 'c']);
  serve('/stream/x');
  attempts[0]?.emit({type: 'sent'});
  const unreachable: string[] = [];
  fleet.recordUnreachable = address => unreachable.push(address);
  attempts[0]?.emit({
    type: 'refused',
    failure: createFailure('queue-full', 'a helper is unreachable'),
    unreachable: false,
    faultyAddress: '10.0.0.9:80',
  });
  expect(unreachable).toEqual(['10.0.0.9:80']);
});

test('a request fails once four servers have refused it', () => {
  const {attempts, serve} = gatewayFixture(['a', 'b', 'c', 'd', 'e', 'f']);
  const {received} = serve('/book/x');
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
  expect(received.failure?.ran).toEqual('no');
});

test('a gateway that shuts down serves requests until callers have moved away', () => {
  const {attempts, serve, clock, core} = gatewayFixture();
  core.startShutdown(8_000);
  clock.now += 2_799;
  serve('/book/x');
  expect(attempts.length).toEqual(1);
  clock.now += 1;
  const {received} = serve('/book/y');
  expect(attempts.length).toEqual(1);
  expect(received.failure?.kind).toEqual('leaving');
  expect(received.failure?.ran).toEqual('no');
});

test('a request that crashed several servers is refused unsent', () => {
  const {attempts, serve, clock, core} = gatewayFixture(['a', 'b', 'c', 'd']);
  const failAttempt = (i: number): void => {
    attempts[i]?.emit({type: 'sent'});
    clock.now += 10;
    attempts[i]?.emit({type: 'failed', reason: 'reset'});
  };
  serve('/read/poison');
  failAttempt(0);
  failAttempt(1);
  serve('/read/poison');
  failAttempt(2);
  const sent = attempts.length;
  const {received} = serve('/read/poison', {requestId: 'r9'});
  expect(attempts.length).toEqual(sent);
  // What other gateways lost at the same servers is known by then.
  clock.now += 60;
  core.tick();
  expect(attempts.length).toEqual(sent);
  expect(received.failure?.kind).toEqual('suspect-request');
  expect(received.failure?.ran).toEqual('no');
  serve('/read/other');
  expect(attempts.length).toEqual(sent + 1);
});

test('the refusal for lack of servers counts servers by state', () => {
  const {serve, fleet} = gatewayFixture(['a', 'b']);
  fleet.setEvacuatedZones(new Set(['nord']));
  const {received} = serve('/book/x');
  expect(received.failure?.kind).toEqual('no-backend-server');
  expect(received.failure?.message).toEqual(
    'No backend server of service plain can take the request now. Listed: 2, ready: 2, in evacuated zones: 2, avoided: 0, leaving: 0, paused: 0.',
  );
});

test('a request that arrives before the configuration is queued', () => {
  const {attempts, serve, configure} = gatewayFixture(['a'], {
    isConfigured: false,
  });
  const {received} = serve('/book/x');
  const {call} = serve('/book/y');
  call.handleDisconnect();
  expect(received.failure).toEqual(undefined);
  configure();
  expect(attempts.map(({req}) => req.target)).toEqual(['/book/x']);
});

test('a queued request is refused if no configuration arrives', () => {
  const {serve, core, clock} = gatewayFixture(['a'], {isConfigured: false});
  const refusedAfter = (path: string, ms: number) => {
    const {received} = serve(path);
    clock.now += ms - 1;
    core.tick();
    expect(received.failure).toEqual(undefined);
    clock.now += 1;
    core.tick();
    return received.failure;
  };
  expect(refusedAfter('/book/x', 1_000)?.kind).toEqual('not-ready');
  const {kind, ran} = refusedAfter('/book/y', 1_000) ?? {};
  expect([kind, ran]).toEqual(['not-ready', 'no']);
});

[408, 429, 503].forEach(status => {
  const failing = {
    type: 'response',
    head: head(status),
    body: Buffer.from('no'),
  } as const;

  // Guards against a booking that has run, is reported as not run, and is made twice.
  test(`a booking that a server ran and answered ${status} is not reported as not run (REFUSED)`, () => {
    const {attempts, serve} = gatewayFixture();
    const {received} = serve('/book/x');
    attempts[0]?.emit({type: 'sent'});
    attempts[0]?.emit(failing);
    expect(attempts.length).toEqual(1);
    expect(received.status).toEqual(undefined);
    expect(received.failure?.ran).toEqual('unknown');
  });

  // Guards against the same after a retry: no attempt says that it has not run.
  test(`a read that servers ran and answered ${status} is retried, and not reported as not run (REFUSED)`, () => {
    const {attempts, serve} = gatewayFixture();
    const {received} = serve('/read/x');
    [0, 1].forEach(i => {
      attempts[i]?.emit({type: 'sent'});
      attempts[i]?.emit(failing);
    });
    expect(attempts.length).toEqual(2);
    expect(received.status).toEqual(undefined);
    expect(received.failure?.ran).toEqual('unknown');
  });

  // Guards against a hedge's failure that ends the attempt which is still to answer.
  test(`a hedge that is answered ${status} does not replace the silent attempt (REFUSED)`, () => {
    const {attempts, serve, core, clock} = gatewayFixture();
    const {received} = serve('/read/x');
    attempts[0]?.emit({type: 'sent'});
    clock.now += 5_000;
    core.tick();
    attempts[1]?.emit({type: 'sent'});
    attempts[1]?.emit(failing);
    attempts[0]?.emit({
      type: 'response',
      head: head(200),
      body: Buffer.from('ok'),
    });
    expect(received).toEqual({status: 200, text: 'ok', ended: true});
  });
});
