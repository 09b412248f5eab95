import {test} from 'node:test';
import {createFailure} from '@figfall/decisions';
import {expect} from 'earl';
import {gatewayFixture} from './gateway_fixture.js';

/** What waits until callers' connections have been read. */
function pendingReads() {
  let actions: (() => void)[] = [];
  return {
    afterReads: (action: () => void) => void actions.push(action),
    finish: () => {
      const due = actions;
      actions = [];
      due.forEach(action => action());
    },
  };
}

const REFUSED = {
  type: 'refused',
  failure: createFailure('queue-full', 'full'),
  unreachable: false,
} as const;

test('a retry is not sent if the close of its caller is read before (GONE)', () => {
  const {afterReads, finish} = pendingReads();
  const {attempts, serve, core} = gatewayFixture(['a', 'b'], {afterReads});
  const {call} = serve('/stream/x');
  attempts[0]?.emit({type: 'sent'});
  attempts[0]?.emit({type: 'failed', reason: 'reset'});
  expect(attempts.length).toEqual(1);
  call.handleDisconnect();
  finish();
  core.tick();
  expect(attempts.length).toEqual(1);
  expect(core.isBusy()).toEqual(false);
});

test('a retry is sent once, though checks come while it waits', () => {
  const {afterReads, finish} = pendingReads();
  const {attempts, serve, core} = gatewayFixture(['a', 'b'], {afterReads});
  serve('/book/x');
  attempts[0]?.emit(REFUSED);
  core.tick();
  core.tick();
  finish();
  finish();
  expect(attempts.length).toEqual(2);
});

test('a request whose deadline has passed is refused at once and sent nowhere', () => {
  const {attempts, serve, clock} = gatewayFixture();
  const {received} = serve('/read/x', {arrivedAt: clock.now - 8_000});
  expect(attempts.length).toEqual(0);
  expect(received.failure?.kind).toEqual('deadline-exceeded');
  expect(received.failure?.ran).toEqual('no');
});

test('requests that waited for the first configuration start once closes are read (GONE)', () => {
  const {afterReads, finish} = pendingReads();
  const {attempts, serve, configure} = gatewayFixture(['a', 'b'], {
    isConfigured: false,
    afterReads,
  });
  const {call} = serve('/read/left');
  serve('/read/stays');
  configure();
  call.handleDisconnect();
  finish();
  expect(attempts.map(({req}) => req.target)).toEqual(['/read/stays']);
});
