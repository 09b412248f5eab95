import {test} from 'node:test';
import {expect} from 'earl';
import {waitFor} from '../deployment/wait_for.js';
import {startFakeWeightStore} from '../weight_store/start_fake_weight_store.js';
import {withDeployment} from './with_deployment.js';

const MAX_CONCURRENT_LOADS = 4;

test('agents load placed models within the concurrency limit of the weight store', async () => {
  const store = await startFakeWeightStore({
    limit: MAX_CONCURRENT_LOADS,
    loadMs: 50,
  });
  try {
    await withDeployment(
      {
        engines: 8,
        services: 0,
        engine: {models: []},
        weights: `${store.baseUrl}/log-summary`,
      },
      async ({deployment}) => {
        const {engines} = deployment;
        await waitFor('all engines have loaded the model', () =>
          engines.every(({load}) => load().models.length === 1),
        );
        engines.forEach(({orders}) => {
          expect(orders.map(({action}) => action)).toEqual(['load']);
          expect(orders[0].fencingNumber >= 1).toEqual(true);
        });
        expect(store.counts.refused).toEqual(0);
        expect(store.counts.maxActive <= MAX_CONCURRENT_LOADS).toEqual(true);
        expect(store.counts.loads).toEqual(engines.length);
      },
    );
  } finally {
    await store.close();
  }
});
