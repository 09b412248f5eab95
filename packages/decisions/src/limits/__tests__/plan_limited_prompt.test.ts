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

test('limited servers prefill parts of split prompts, and hold no memory', () => {
  const limited = [0, 1, 2].map(i => ({...candidate(`rated-${i}`), ...RATE}));
  const servers = [...limited, ...fleet(12, STREAMS)];
  const prompt = request(45_000, {latencyTargetMs: 1_500});
  const used = serversOf(planLimitedPrompt(servers, prompt));
  expect(used.filter(id => id.startsWith('rated')).length).toBeGreaterThan(0);
  const filled = fleet(12, {...STREAMS, usedKvCacheTokens: 280_000});
  const plan = planLimitedPrompt([...limited, ...filled], prompt);
  if (plan?.type !== 'start') throw new Error('not started');
  const holders = plan.placement.helpers
    .filter(({reservedTokens}) => reservedTokens > 0)
    .map(({serverId}) => serverId);
  expect(holders.filter(id => id.startsWith('rated'))).toEqual([]);
});

test('short prompts leave limited servers to long ones', () => {
  const idle = {...candidate('rated'), ...RATE};
  const others = fleet(2, STREAMS);
  const [first] = serversOf(
    planLimitedPrompt([idle, ...others], request(5_000)),
  );
  expect(first?.startsWith('rated')).toEqual(false);
});

test('a long prompt runs whole where all servers are limited', () => {
  const servers = [0, 1].map(i => ({...candidate(`rated-${i}`), ...RATE}));
  const prompt = request(150_000, {latencyTargetMs: 3_000});
  expect(serversOf(planLimitedPrompt(servers, prompt)).length).toEqual(1);
});
