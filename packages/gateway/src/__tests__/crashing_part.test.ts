import {test} from 'node:test';
import {expect} from 'earl';
import {gatewayFixture} from './gateway_fixture.js';

type Fixture = ReturnType<typeof gatewayFixture>;

const SERVERS = ['a', 'b', 'c', 'd', 'e', 'f', 'g', 'h'];

/** Milliseconds between two requests. */
const INTERVAL_MS = 200;

/** Milliseconds after a crash within which all gateways know of it. */
const CONTACT_TIMEOUT_MS = 3_000;

const HEAD = {status: 200, headers: [], isCloseDelimited: false};

/** Sends a prompt; no two have the same id, path, body or last part. */
function send({serve}: Fixture, id: string, sharedParts: readonly string[]) {
  return serve(`/stream/${id}`, {
    requestId: id,
    body: Buffer.from(id),
    prompt: {promptTokens: 900, outputTokens: 50, sharedParts},
  });
}

/** Crashes the servers of all attempts at a request, one after the other. */
function crash({attempts, clock}: Fixture, id: string): number {
  const isOpen = ({req, cancelled}: Fixture['attempts'][number]) =>
    req.requestId === id && !cancelled;
  const open = () => attempts.filter(isOpen).at(-1);
  let crashes = 0;
  for (let attempt = open(); attempt; attempt = open()) {
    attempt.emit({type: 'sent'});
    clock.now += 50;
    attempt.emit({type: 'head', head: HEAD});
    attempt.emit({type: 'failed', reason: 'The response was cut off.'});
    attempt.cancelled = true;
    crashes += 1;
  }
  return crashes;
}

function answer({attempts}: Fixture, id: string): void {
  const attempt = attempts.findLast(({req}) => req.requestId === id);
  attempt?.emit({type: 'sent'});
  attempt?.emit({type: 'head', head: HEAD});
  attempt?.emit({type: 'events', firstId: 0, texts: ['id: 0\n\n']});
  attempt?.emit({type: 'end'});
}

test('a part of prompts that crashes each server stops being sent', () => {
  const fixture = gatewayFixture(SERVERS);
  const {clock} = fixture;
  let crashes = 0;
  let fifthCrashAt = Infinity;
  let lateCrashes = 0;
  const soundResults: (string | undefined)[] = [];
  for (let i = 0; i < 100; i += 1) {
    const isLate = clock.now > fifthCrashAt + CONTACT_TIMEOUT_MS;
    send(fixture, `poison-${i}`, ['rules', 'subject-1', 'poison']);
    const crashed = crash(fixture, `poison-${i}`);
    crashes += crashed;
    if (isLate) lateCrashes += crashed;
    if (crashes >= 5) fifthCrashAt = Math.min(fifthCrashAt, clock.now);
    const sound = send(fixture, `sound-${i}`, ['rules', 'subject-1']);
    answer(fixture, `sound-${i}`);
    soundResults.push(sound.received.failure?.kind);
    clock.now += INTERVAL_MS;
  }
  expect(lateCrashes).toBeLessThanOrEqual(3);
  expect(soundResults.filter(Boolean)).toEqual([]);
});
