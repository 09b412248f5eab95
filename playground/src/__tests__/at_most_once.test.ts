import {test} from 'node:test';
import {expect} from 'earl';
import type {startDeployment} from '../deployment/start_deployment.js';
import {waitFor} from '../deployment/wait_for.js';
import {withDeployment} from './with_deployment.js';

type Deployment = Awaited<ReturnType<typeof startDeployment>>;

/** Returns how often the service instances executed a key. */
function countExecutions({services}: Deployment, key: string): number {
  return services
    .map(({executions}) => executions.get(key) ?? 0)
    .reduce((sum, n) => sum + n, 0);
}

/** Returns the index of the service instance that executed a key. */
function executingIndex({services}: Deployment, key: string): number {
  return services.findIndex(({executions}) => executions.has(key));
}

const ONLY_SERVICES = {engines: 0, services: 3};
const BODY = '{"odorant":"THT"}';

test('retries through other entries run a booking once', () =>
  withDeployment(ONLY_SERVICES, async ({deployment, callers}) => {
    const booking = {key: 'k1', body: BODY, createdAt: Date.now()};
    const answers = await Promise.all(
      [0, 1, 0, 1].map(i => callers[i].book(booking)),
    );
    const final = await callers[1].book(booking);
    expect(countExecutions(deployment, 'k1')).toEqual(1);
    expect(final.status).toEqual(201);
    answers
      .filter(({complete}) => !complete)
      .forEach(({errorKind, ran}) => {
        expect(errorKind).toEqual('in-progress');
        expect(ran).toEqual('unknown');
      });
    const reused = await callers[0].book({...booking, body: 'other'});
    expect(reused.errorKind).toEqual('key-reused');
  }));

test('a booking whose agent is killed while it runs is not run again', () =>
  withDeployment(
    {...ONLY_SERVICES, serviceDelayMs: 400},
    async ({deployment, callers}) => {
      const booking = {key: 'k2', body: BODY, createdAt: Date.now()};
      const first = callers[0].book(booking);
      await waitFor(
        'the booking runs',
        () => countExecutions(deployment, 'k2') === 1,
      );
      const agent = deployment.agents[executingIndex(deployment, 'k2')];
      await agent.kill();
      const answer = await first;
      expect(answer.ran).toEqual('unknown');
      const duringOutage = await callers[1].book(booking);
      expect(duringOutage.ran).toEqual('unknown');
      await agent.start();
      await waitFor('retries get outcome-unknown', async () => {
        const retried = await callers[1].book(booking);
        return retried.errorKind === 'outcome-unknown';
      });
      expect(countExecutions(deployment, 'k2')).toEqual(1);
    },
  ));

test('a booking whose response is lost has an unknown outcome and is not run again', () =>
  withDeployment(ONLY_SERVICES, async ({deployment, callers}) => {
    deployment.services.forEach(({faults}) => {
      faults.loseAnswers = 1;
    });
    const booking = {key: 'k3', body: BODY, createdAt: Date.now()};
    const first = await callers[0].book(booking);
    expect(first.ran).toEqual('unknown');
    const retried = await callers[1].book(booking);
    expect(retried.errorKind).toEqual('outcome-unknown');
    expect(countExecutions(deployment, 'k3')).toEqual(1);
  }));

test('a booking runs once if responses to its ledger writes are lost', () =>
  withDeployment(ONLY_SERVICES, async ({deployment, callers}) => {
    deployment.platform.faults.loseAnswers = 6;
    const createdAt = Date.now();
    const keys = Array.from({length: 12}, (_, i) => `lost-${i}`);
    const answers = await Promise.all(
      keys.map((key, i) => callers[i % 2].book({key, body: BODY, createdAt})),
    );
    answers.forEach(({status}, i) => {
      expect(status).toEqual(201);
      expect(countExecutions(deployment, keys[i])).toEqual(1);
    });
  }));

test('a booking is refused while the platform is down and runs later', () =>
  withDeployment(ONLY_SERVICES, async ({deployment, callers}) => {
    deployment.platform.faults.down = true;
    const booking = {key: 'k4', body: BODY, createdAt: Date.now() + 2_000};
    const refused = await callers[0].book(booking);
    expect(refused.errorKind).toEqual('ledger-unavailable');
    expect(refused.ran).toEqual('no');
    expect(countExecutions(deployment, 'k4')).toEqual(0);
    deployment.platform.faults.down = false;
    await waitFor('the booking runs with the same key', async () => {
      const retried = await callers[1].book(booking);
      return retried.status === 201;
    });
    expect(countExecutions(deployment, 'k4')).toEqual(1);
  }));

test('a key that is expired or has no creation time is refused', () =>
  withDeployment(ONLY_SERVICES, async ({deployment, callers}) => {
    const createdAt = Date.now() - 2 * 86_400_000;
    const expired = await callers[0].book({key: 'k5', body: BODY, createdAt});
    expect(expired.errorKind).toEqual('key-expired');
    expect(expired.ran).toEqual('unknown');
    const undated = await callers[0].book({
      key: 'k6',
      body: BODY,
      createdAt: Number.NaN,
    });
    expect(undated.errorKind).toEqual('bad-request');
    expect(
      countExecutions(deployment, 'k5') + countExecutions(deployment, 'k6'),
    ).toEqual(0);
  }));
