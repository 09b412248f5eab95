import {expect} from 'earl';
import {LimitedDeployment} from '../simulation/limited_deployment.js';
import {LIMIT_RULE} from './limit_rule.js';

const {WINDOW_MS, IN_FORCE_MS, allowed} = LIMIT_RULE;

/** Least share of what a limit allows that callers have to get. */
const SHARE_MIN = 0.8;

/** Longest time in milliseconds that a caller waits for a refusal. */
const REFUSED_WITHIN_MS = 2_050;

interface Demand {
  readonly gateways: number;
  readonly perSecond: number;
  /** Milliseconds of demand at ten times the limit. */
  readonly durationMs: number;
  readonly isFromOne?: boolean;
}

/** Runs ten times what one server, the only one, says that it takes. */
async function overload({
  gateways,
  perSecond,
  durationMs,
  isFromOne = false,
}: Demand): Promise<LimitedDeployment> {
  const deployment = new LimitedDeployment({gateways, limits: [perSecond]});
  deployment.sendEvenly(10 * perSecond, {from: 0, to: durationMs}, i => ({
    gateway: isFromOne ? 0 : i % gateways,
  }));
  await deployment.clock.runUntil(durationMs + WINDOW_MS);
  return deployment;
}

/** Expects that a limit under tenfold demand is kept, and mostly used. */
export async function expectLimitKept(demand: Demand): Promise<void> {
  const {perSecond, durationMs} = demand;
  const {servers, outcomes} = await overload(demand);
  const [server] = servers;
  const most = server?.mostInWindow(WINDOW_MS, IN_FORCE_MS) ?? 0;
  expect(most).toBeLessThanOrEqual(allowed(perSecond));
  const got = server?.arrivedBetween(IN_FORCE_MS, durationMs) ?? 0;
  const offered = (perSecond * (durationMs - IN_FORCE_MS)) / 1_000;
  expect(got).toBeGreaterThanOrEqual(Math.floor(offered * SHARE_MIN));
  const refused = outcomes.filter(({result}) => result === 'refused');
  const slowest = Math.max(...refused.map(o => o.endedAt - o.sentAt));
  expect(slowest).toBeLessThanOrEqual(REFUSED_WITHIN_MS);
  expect(outcomes.filter(({result}) => result === 'failed').length).toEqual(0);
  expect(refused.every(({retryAfterMs = 0}) => retryAfterMs > 0)).toEqual(true);
}
