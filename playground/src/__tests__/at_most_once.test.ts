import {test} from 'node:test';
import {expect} from 'earl';
import type {startDeployment} from '../deployment/start_deployment.js';
import {waitFor} from '../deployment/wait_for.js';
import {withDeployment} from './with_deployment.js';

type Deployment = Awaited<ReturnType<typeof startDeployment>>;

function runs({services}: Deployment, key: string): number {
  return services
    .map(({executions}) => executions.get(key) ?? 0)
    .reduce((sum, n) => sum + n, 0);
}

/** Index of the service instance that runs a key. */
function runner({services}: Deployment, key: string): number {
  return services.findIndex(({executions}) => executions.has(key));
}

const ONLY_SERVICES = {engines: 0, services: 3};
const BODY = '{"odorant":"THT"}';

test('resends through other entries get the one outcome', () =>
  withDeployment(ONLY_SERVICES, async ({deployment, callers}) => {
    const booking = {key: 'k1', body: BODY, createdAt: Date.now()};
    const answers = await Promise.all(
      [0, 1, 0, 1].map(i => callers[i].book(booking)),
    );
    const settled = await callers[1].book(booking);
    expect(runs(deployment, 'k1')).toEqual(1);
    expect(settled.status).toEqual(201);
    answers
      .filter(({complete}) => !complete)
      .forEach(({errorKind, ran}) => {
        expect(errorKind).toEqual('in-progress');
        expect(ran).toEqual('unknown');
      });
    const reused = await callers[0].book({...booking, body: 'other'});
    expect(reused.errorKind).toEqual('key-reused');
  }));

test('an agent killed while a booking runs leaves it run once, unknown', () =>
  withDeployment(
    {...ONLY_SERVICES, serviceDelayMs: 400},
    async ({deployment, callers}) => {
      const booking = {key: 'k2', body: BODY, createdAt: Date.now()};
      const first = callers[0].book(booking);
      await waitFor('it runs', () => runs(deployment, 'k2') === 1);
      const agent = deployment.agents[runner(deployment, 'k2')];
      await agent.kill();
      const answer = await first;
      expect(answer.ran).toEqual('unknown');
      const during = await callers[1].book(booking);
      expect(during.ran).toEqual('unknown');
      await agent.start();
      await waitFor('resends get a final answer', async () => {
        const again = await callers[1].book(booking);
        return again.errorKind === 'outcome-unknown';
      });
      expect(runs(deployment, 'k2')).toEqual(1);
    },
  ));

test('an answer that the service loses is unknown and never rerun', () =>
  withDeployment(ONLY_SERVICES, async ({deployment, callers}) => {
    deployment.services.forEach(({faults}) => {
      faults.loseAnswers = 1;
    });
    const booking = {key: 'k3', body: BODY, createdAt: Date.now()};
    const first = await callers[0].book(booking);
    expect(first.ran).toEqual('unknown');
    const again = await callers[1].book(booking);
    expect(again.errorKind).toEqual('outcome-unknown');
    expect(runs(deployment, 'k3')).toEqual(1);
  }));

test('claims whose answers are lost after they took effect run once', () =>
  withDeployment(ONLY_SERVICES, async ({deployment, callers}) => {
    deployment.platform.faults.loseAnswers = 6;
    const createdAt = Date.now();
    const keys = Array.from({length: 12}, (_, i) => `lost-${i}`);
    const answers = await Promise.all(
      keys.map((key, i) => callers[i % 2].book({key, body: BODY, createdAt})),
    );
    answers.forEach(({status}, i) => {
      expect(status).toEqual(201);
      expect(runs(deployment, keys[i])).toEqual(1);
    });
  }));

test('with the store down a booking is refused in time and not run', () =>
  withDeployment(ONLY_SERVICES, async ({deployment, callers}) => {
    deployment.platform.faults.down = true;
    const booking = {key: 'k4', body: BODY, createdAt: Date.now() + 2_000};
    const refused = await callers[0].book(booking);
    expect(refused.errorKind).toEqual('ledger-unavailable');
    expect(refused.ran).toEqual('no');
    expect(runs(deployment, 'k4')).toEqual(0);
    deployment.platform.faults.down = false;
    await waitFor('the same key runs later', async () => {
      const again = await callers[1].book(booking);
      return again.status === 201;
    });
    expect(runs(deployment, 'k4')).toEqual(1);
  }));

test('an old key is refused, and one without a time is explained', () =>
  withDeployment(ONLY_SERVICES, async ({deployment, callers}) => {
    const createdAt = Date.now() - 2 * 86_400_000;
    const old = await callers[0].book({key: 'k5', body: BODY, createdAt});
    expect(old.errorKind).toEqual('key-expired');
    expect(old.ran).toEqual('unknown');
    const undated = await callers[0].book({
      key: 'k6',
      body: BODY,
      createdAt: Number.NaN,
    });
    expect(undated.errorKind).toEqual('bad-request');
    expect(runs(deployment, 'k5') + runs(deployment, 'k6')).toEqual(0);
  }));
