import {test} from 'node:test';
import {expect} from 'earl';
import {planFixture} from '../../serving/__tests__/plan_fixture.js';
import {planLimitedPrompt} from '../plan_limited_prompt.js';

const {candidate, fleet, request, STREAMS} = planFixture;
const RATE = {rateLimit: {perSecond: 1, permits: 1}};

function serversOf(plan: ReturnType<typeof planLimitedPrompt>) {
  if (plan?.type !== 'start') throw new Error(`not started: ${plan?.type}`);
  const {serverId, helpers} = plan.placement;
  return [serverId, ...helpers.map(helper => helper.serverId)];
}

test('limited servers prefill no parts of split prompts', () => {
  const limited = [0, 1, 2].map(i => ({...candidate(`rated-${i}`), ...RATE}));
  const servers = [...limited, ...fleet(12, STREAMS)];
  const prompt = request(45_000, {latencyTargetMs: 1_500});
  const used = serversOf(planLimitedPrompt(servers, prompt));
  expect(used.length).toBeGreaterThan(1);
  expect(used.filter(id => id.startsWith('rated'))).toEqual([]);
});

test('a short prompt takes a limited server if that is no later', () => {
  const idle = {...candidate('rated'), ...RATE};
  const busy = {...candidate('rated', {...STREAMS, backlogMs: 900}), ...RATE};
  const prompt = request(5_000);
  const others = fleet(1, STREAMS);
  expect(serversOf(planLimitedPrompt([idle, ...others], prompt))).toEqual([
    'rated',
  ]);
  const [other] = others;
  expect(serversOf(planLimitedPrompt([busy, ...others], prompt))).toEqual([
    other?.server.id ?? '',
  ]);
});

test('a long prompt runs whole where all servers are limited', () => {
  const servers = [0, 1].map(i => ({...candidate(`rated-${i}`), ...RATE}));
  const prompt = request(150_000, {latencyTargetMs: 3_000});
  expect(serversOf(planLimitedPrompt(servers, prompt)).length).toEqual(1);
});
