import {mock, test} from 'node:test';
import {setImmediate} from 'node:timers/promises';
import type {EngineProfile} from '@figfall/decisions';
import {expect} from 'earl';
import {attemptEvents} from './attempt_events.js';
import {gatewayFixture} from './gateway_fixture.js';

const {begin, emitEvents} = attemptEvents;

/** Prefills 150,000 tokens in 2.9 s. */
const ENGINE: EngineProfile = {
  slots: 8,
  kvCacheTokens: 300_000,
  stepMs: 1,
  stepMsPerSequence: 0.02,
  prefillTokensPerMs: 177,
  attentionMsPerMillionPairs: 0.184,
  stepsPerPass: 50,
};

/** One whose memory is too small for that prompt. */
const SMALL_ENGINE = {...ENGINE, kvCacheTokens: 100_000};

/** A silent prompt that has reserved memory on another server. */
async function silentPromptWithMemory(
  fixture: ReturnType<typeof gatewayFixture>,
) {
  const {call, received} = fixture.serve('/stream/x', {
    prompt: {promptTokens: 150_000, outputTokens: 200, sharedParts: []},
  });
  await setImmediate();
  begin(fixture, 0);
  emitEvents(fixture, 0, 0, '0');
  const passTime = (ms: number): void => {
    fixture.clock.now += ms;
    fixture.core.tick();
  };
  return {call, received, passTime};
}

test('memory on other servers is not held for 4 s by a silent hedge', async () => {
  mock.timers.enable({apis: ['setInterval']});
  const fixture = gatewayFixture('abcdefghijkl'.split(''), {
    engine: SMALL_ENGINE,
  });
  const {call, passTime} = await silentPromptWithMemory(fixture);
  passTime(1_700);
  await setImmediate();
  const hedge = fixture.attempts[1];
  passTime(3_600);
  const isCancelled = hedge?.cancelled;
  call.handleDisconnect();
  mock.timers.reset();
  expect(isCancelled).toEqual(true);
});

test('a hedge that waits for servers does not hold up other prompts', () => {
  const serverIds = 'abcdef'.split('');
  const fixture = gatewayFixture(serverIds, {engine: ENGINE});
  const {call} = fixture.serve('/stream/x', {
    prompt: {promptTokens: 150_000, outputTokens: 200, sharedParts: []},
  });
  begin(fixture, 0);
  emitEvents(fixture, 0, 0, '0');
  const silentId = fixture.attempts[0]?.req.server.id;
  const others = serverIds.filter(id => id !== silentId);
  others.forEach(serverId =>
    fixture.fleet.work.start({
      ...{workId: `other@${serverId}`, serverId, prefillMs: 5_000},
      ...{pauseMs: 250, worth: 1, memoryTokens: 100, decodes: false},
    }),
  );
  fixture.clock.now += 1_700;
  fixture.core.tick();
  const isWaiting = fixture.announced.some(({type}) => type === 'wait');
  call.handleDisconnect();
  expect(fixture.attempts.length).toEqual(1);
  expect(isWaiting).toEqual(false);
});

test('a long stream is not cut because its first event would come too late', () => {
  const serverIds = Array.from({length: 12}, (_, i) => `s${i}`);
  const fixture = gatewayFixture(serverIds, {engine: ENGINE});
  const {received} = fixture.serve('/stream/x', {
    prompt: {promptTokens: 150_000, outputTokens: 200, sharedParts: []},
  });
  begin(fixture, 0);
  emitEvents(fixture, 0, 0, '0');
  fixture.clock.now += 1_500;
  emitEvents(fixture, 0, 1, '1');
  fixture.clock.now += 600;
  fixture.attempts[0]?.emit({type: 'failed', reason: 'reset'});
  fixture.core.tick();
  expect(received.failure).toEqual(undefined);
  expect(fixture.attempts[1]?.req.lastEventId).toEqual(1);
});

test('memory on other servers is not held for 4 s by a silent prompt', async () => {
  mock.timers.enable({apis: ['setInterval']});
  const fixture = gatewayFixture('abcdefghijkl'.split(''), {
    engine: SMALL_ENGINE,
  });
  const {call, passTime} = await silentPromptWithMemory(fixture);
  passTime(3_600);
  const isCancelled = fixture.attempts[0]?.cancelled;
  call.handleDisconnect();
  mock.timers.reset();
  expect(isCancelled).toEqual(true);
});

test('a prompt with memory on other servers is not cut after a second of silence', async () => {
  mock.timers.enable({apis: ['setInterval']});
  const fixture = gatewayFixture('abcdef'.split(''), {engine: SMALL_ENGINE});
  const {call, passTime, received} = await silentPromptWithMemory(fixture);
  passTime(1_700);
  const isCancelled = fixture.attempts[0]?.cancelled;
  call.handleDisconnect();
  mock.timers.reset();
  expect(isCancelled).toEqual(false);
  expect(received.failure).toEqual(undefined);
});
