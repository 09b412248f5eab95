import {test} from 'node:test';
import {expect} from 'earl';
import {selectLinkPeers} from '../routing/select_link_peers.js';
import type {AgentReport} from '../routing/agent_report.js';
import type {AgentView} from '../routing/agent_view.js';
import {splitPrompt} from '../routing/split_prompt.js';
import {planGroup} from '../routing/plan_group.js';
import {routeRequest} from '../routing/route_request.js';
import type {RouteQuery} from '../routing/route_query.js';
import {assignModels} from '../placement/assign_models.js';
import {divideLimit} from '../shared/divide_limit.js';
import {rankByRendezvous} from '../shared/rank_by_rendezvous.js';
import {retryBudget} from '../shared/retry_budget.js';
import {testHash} from './test_hash.js';

function createView(
  agentId: string,
  report: Partial<AgentReport> = {},
  overrides: Partial<AgentView> = {},
): AgentView {
  return {
    report: {
      agentId,
      incarnation: 'i',
      backendServer: agentId,
      kind: 'model-engine',
      region: 'r',
      zone: 'z1',
      phase: 'serving',
      serves: ['m'],
      inService: true,
      running: 0,
      queued: 0,
      pendingTokens: 0,
      pendingShortTokens: 0,
      runningLimit: 8,
      freeTokens: 100_000,
      totalTokens: 100_000,
      prefillRate: 10_000,
      configRevision: 1,
      ...report,
    },
    reportedAt: 0,
    sentTokens: 0,
    sentShortTokens: 0,
    sentCalls: 0,
    outstandingCalls: 0,
    linked: true,
    avoidUntil: 0,
    ...overrides,
  };
}

function createQuery(overrides: Partial<RouteQuery> = {}): RouteQuery {
  return {
    target: 'm',
    kind: 'model-engine',
    promptTokens: 1_000,
    totalTokens: 1_016,
    affinityKey: 'k',
    region: 'r',
    zone: 'z1',
    exclude: [],
    policy: 'figfall',
    now: 0,
    hash: testHash,
    random: () => 0.5,
    roundRobinCounter: 0,
    ...overrides,
  };
}

const MIX = {longShare: 0.3};
const IDS = ['a', 'b', 'c', 'd', 'e', 'f'];

test('agents that are out of service, leaving, unlinked or excluded get no requests', () => {
  const views = [
    createView('a', {inService: false}),
    createView('b', {phase: 'leaving'}),
    createView('c', {}, {linked: false}),
    createView('d'),
  ];
  const chosen = routeRequest(views, createQuery(), MIX);
  expect(chosen?.report.agentId).toEqual('d');
  const none = routeRequest(views, createQuery({exclude: ['d']}), MIX);
  expect(none).toEqual(undefined);
});

test('requests with equal prefixes go to one agent until it is busy', () => {
  const views = IDS.map(id => createView(id));
  const preferred =
    routeRequest(views, createQuery(), MIX)?.report.agentId ?? '';
  expect(routeRequest(views, createQuery(), MIX)?.report.agentId).toEqual(
    preferred,
  );
  const busy = IDS.map(id =>
    createView(id, {}, {sentShortTokens: id === preferred ? 50_000 : 0}),
  );
  const moved = routeRequest(busy, createQuery(), MIX)?.report.agentId;
  expect(moved === preferred).toEqual(false);
});

test('long prompts go to a subset of the agents', () => {
  const views = IDS.map(id => createView(id));
  const chosen = new Set(
    Array.from({length: 50}, (_, i) => {
      const long = createQuery({promptTokens: 50_000, affinityKey: `k${i}`});
      const loaded = views.map(v => ({...v, sentTokens: (i * 7_919) % 1_000}));
      return routeRequest(loaded, long, MIX)?.report.agentId;
    }),
  );
  expect(chosen.size <= 2).toEqual(true);
});

test('removing a node moves only its own keys and models', () => {
  const remaining = IDS.filter(id => id !== 'c');
  Array.from({length: 100}, (_, i) => `key${i}`).forEach(key => {
    const before = rankByRendezvous(key, IDS, testHash)[0];
    const after = rankByRendezvous(key, remaining, testHash)[0];
    if (before !== 'c') expect(after).toEqual(before);
  });
  const demands = [{model: 'm', replicas: 3}];
  const servers = IDS.map(id => ({id, zone: 'z', slots: 1}));
  const holders = (list: typeof servers) =>
    [...assignModels(demands, list, testHash)]
      .filter(([, models]) => models.length > 0)
      .map(([id]) => id);
  const before = holders(servers);
  const [removed] = before;
  const after = holders(servers.filter(({id}) => id !== removed));
  expect(after.filter(id => before.includes(id)).length).toEqual(2);
});

test('the number of links is bounded and they reach all zones', () => {
  const peers = Array.from({length: 300}, (_, i) => ({
    id: `p${i}`,
    zone: `z${i % 5}`,
    region: 'r',
  }));
  const options = {entryId: 'e', zone: 'z1', region: 'r', size: 16};
  const ids = selectLinkPeers(peers, options, testHash);
  const zones = ids.map(id => peers.find(peer => peer.id === id)?.zone);
  expect(ids.length).toEqual(16);
  expect(zones.filter(zone => zone === 'z1').length).toEqual(8);
  expect(new Set(zones).size).toEqual(5);
});

test('shares of a limit add up to the limit', () => {
  const members = ['a', 'b', 'c'];
  const shares = members.map(id => divideLimit(10, members, id));
  expect(shares).toEqual([4, 3, 3]);
  expect(divideLimit(10, members, 'unknown')).toEqual(0);
});

test('group members are ordered by id; a failure names the largest prompt that fits', () => {
  const views = ['c', 'a', 'b'].map(id => createView(id));
  const required = {promptTokens: 150_000, outputTokens: 100, zone: 'z1'};
  const plan = planGroup(views, required)._unsafeUnwrap();
  expect(plan.map(({agentId}) => agentId)).toEqual(['a', 'b']);
  const planned = plan.reduce((sum, part) => sum + part.promptTokens, 0);
  expect(planned >= 150_000).toEqual(true);
  const refused = planGroup(views, {...required, promptTokens: 400_000});
  expect(refused.isErr() && refused.error.message).toEqual(
    'The prompt has about 400000 tokens; at most 254700 can be served now. Shorten the prompt.',
  );
});

test('a prompt is split at block boundaries without gaps', () => {
  const parts = splitPrompt(10_500, [2, 1, 1], 1_000);
  expect(parts).toEqual([
    {from: 0, to: 5_000},
    {from: 5_000, to: 7_000},
    {from: 7_000, to: 10_500},
  ]);
});

test('retries stay within their share of requests', () => {
  const options = {ratio: 0.2, burst: 5};
  let budget = retryBudget.create(options);
  let allowed = 0;
  for (let i = 0; i < 100; i++) {
    budget = retryBudget.recordAttempt(budget, options);
    const spent = retryBudget.spend(budget);
    budget = spent.budget;
    if (spent.allowed) allowed += 1;
  }
  expect(allowed <= 25).toEqual(true);
  expect(allowed >= 20).toEqual(true);
});
