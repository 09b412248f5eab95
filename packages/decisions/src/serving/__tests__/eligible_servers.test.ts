import {test} from 'node:test';
import {expect} from 'earl';
import type {BackendServer} from '../backend_server.js';
import {eligibleServers} from '../eligible_servers.js';
import {fleetLoad} from '../fleet_load.js';
import type {ServerHealth} from '../server_health.js';
import {serverNotices} from '../server_notices.js';
import {passiveHealth} from '../passive_health.js';

const NOW = 1_000;

function server(id: string, options: Partial<BackendServer> = {}) {
  return {
    id,
    service: 's',
    host: '127.0.0.1',
    port: 1,
    zone: 'nord',
    state: 'ready' as const,
    slots: 8,
    coldUntil: 0,
    ...options,
  };
}

function eligible(
  servers: readonly BackendServer[],
  options: Partial<Parameters<typeof eligibleServers>[0]> = {},
): readonly string[] {
  const fleet = {
    servers,
    load: fleetLoad.empty(),
    health: new Map<string, ServerHealth>(),
    evacuatedZones: new Set<string>(),
    notices: serverNotices.empty(),
    rateLimitOf: () => undefined,
    ...options,
  };
  return eligibleServers(
    fleet,
    {name: 's', coldRequestsPerSecond: 10},
    ['excluded'],
    NOW,
  ).map(candidate => candidate.server.id);
}

test("draining, excluded, evacuated and other services' servers are not eligible", () => {
  const servers = [
    server('a'),
    server('draining', {state: 'draining'}),
    server('other', {service: 'x'}),
    server('evacuated', {zone: 'werk'}),
    server('excluded'),
  ];
  expect(eligible(servers, {evacuatedZones: new Set(['werk'])})).toEqual(['a']);
});

test('a cold server gets at most 80 % of its declared request rate', () => {
  const cold = server('cold', {coldUntil: NOW + 500});
  const indexes = Array.from({length: 7}, (_, i) => i);
  const load = indexes.reduce(
    (rest, i) =>
      fleetLoad.addWork(
        rest,
        {
          workId: `${i}`,
          serverId: 'cold',
          memoryTokens: 1,
          prefillMs: 1,
          pauseMs: 250,
          worth: 1,
          decodes: true,
        },
        i % 2 === 0 ? 'me' : 'other',
        NOW - 100,
      ),
    fleetLoad.empty(),
  );
  expect(eligible([cold], {load})).toEqual(['cold']);
  const full = fleetLoad.addWork(
    load,
    {
      workId: 'last',
      serverId: 'cold',
      memoryTokens: 1,
      prefillMs: 1,
      pauseMs: 250,
      worth: 1,
      decodes: true,
    },
    'other',
    NOW,
  );
  expect(eligible([cold], {load: full})).toEqual([]);
});

test('an unreachable server is eligible only if there is no other', () => {
  const health = new Map([
    ['a', passiveHealth.record(passiveHealth.initial(NOW), 'unreachable', NOW)],
  ]);
  expect(eligible([server('a'), server('b')], {health})).toEqual(['b']);
  expect(eligible([server('a')], {health})).toEqual(['a']);
});

test('each failed connection doubles the time for which a server is avoided', () => {
  const once = passiveHealth.record(
    passiveHealth.initial(NOW),
    'unreachable',
    NOW,
  );
  const twice = passiveHealth.record(once, 'unreachable', once.avoidUntil);
  expect(once.avoidUntil - NOW).toEqual(1_000);
  expect(twice.avoidUntil - once.avoidUntil).toEqual(2_000);
  const back = passiveHealth.record(twice, 'answered', twice.avoidUntil);
  expect(back.avoidUntil).toEqual(0);
});

test('a server with a full KV cache is avoided briefly but has no failure', () => {
  const full = passiveHealth.record(
    passiveHealth.initial(NOW),
    'memory-full',
    NOW,
  );
  expect(full.avoidUntil).toEqual(NOW + 250);
  expect(full.consecutiveUnreachable).toEqual(0);
  expect(passiveHealth.failureRate(full, NOW)).toEqual(0);
});

test('a server that leaves or asked for a pause is never eligible', () => {
  const leaving = serverNotices.recordLeaving(
    serverNotices.empty(),
    {id: 'a'},
    NOW,
  );
  const notices = serverNotices.recordPause(leaving, 'b', 500, NOW);
  expect(eligible([server('a'), server('b')], {notices})).toEqual([]);
  expect(eligible([server('a'), server('b'), server('c')], {notices})).toEqual([
    'c',
  ]);
});
