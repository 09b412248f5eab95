import {test} from 'node:test';
import {expect} from 'earl';
import type {CallSpec} from '../calls/call_spec.js';
import {silenceTimeoutMs} from '../calls/silence_timeout_ms.js';

const ROUTE = {kind: 'streaming', latencyTargetMs: 3_024, pauseMs: 1_000};
const SPEC = {route: ROUTE, idempotent: true} as unknown as CallSpec;

function placement(firstEventMs: number, reservedTokens: number) {
  const helpers = [{serverId: 'b', reservedTokens}];
  return {serverId: 'a', helpers, prefillMs: 0, firstEventMs};
}

test('a silent attempt that holds memory elsewhere ends before 4 s', () => {
  expect(silenceTimeoutMs(SPEC, placement(1_500, 19_160))).toEqual(3_500);
  expect(silenceTimeoutMs(SPEC, placement(1_500, 0)) > 5_000).toEqual(true);
});

test('a late first event that was predicted is waited for', () => {
  expect(silenceTimeoutMs(SPEC, placement(2_500, 19_160))).toEqual(5_000);
});
