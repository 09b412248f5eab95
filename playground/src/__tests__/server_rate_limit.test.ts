import {test} from 'node:test';
import {expect} from 'earl';
import {LimitedDeployment} from '../simulation/limited_deployment.js';

/** Window in milliseconds in which the sum over all gateways is judged. */
const WINDOW_MS = 4_000;

/** Milliseconds after which a named limit is in force at all gateways. */
const IN_FORCE_MS = 3_000;

/** Requests that a limited server may get in a window. */
function allowed(perSecond: number): number {
  return 1.5 * perSecond * (WINDOW_MS / 1_000) + 5;
}

test(
  'gateways together send a server no more than the request rate it names',
  {todo: 'KNOWN-RED.txt, issue 30'},
  async () => {
    const deployment = new LimitedDeployment({
      gateways: 5,
      limits: [1, 1.1, undefined, undefined],
    });
    deployment.sendEvenly(20, {from: 0, to: 20_000}, i => ({gateway: i % 5}));
    await deployment.clock.runUntil(24_000);
    const most = deployment.servers.map(server =>
      server.mostInWindow(WINDOW_MS, IN_FORCE_MS),
    );
    expect(most[0] ?? 0).toBeLessThanOrEqual(allowed(1));
    expect(most[1] ?? 0).toBeLessThanOrEqual(allowed(1.1));
    expect(deployment.outcomes.map(({result}) => result)).toEqual(
      deployment.outcomes.map(() => 'answered' as const),
    );
  },
);
