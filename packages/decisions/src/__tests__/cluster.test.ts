import {test} from 'node:test';
import fc from 'fast-check';
import {Cluster} from './cluster.js';
import {schedulerFixture} from './scheduler_fixture.js';

const SEED = 20_261_204;

type Action = (cluster: Cluster, agent: number) => void;

/** Possible events; repeated entries are drawn more often. */
const ACTIONS: readonly Action[] = [
  cluster => cluster.start(true),
  cluster => cluster.start(false),
  (cluster, i) => cluster.deliver(cluster.agents[i]),
  (cluster, i) => cluster.deliver(cluster.agents[i]),
  (cluster, i) => cluster.deliver(cluster.agents[i]),
  (cluster, i) => cluster.agents[i].generate(i),
  (cluster, i) => cluster.agents[i].generate(i + 1),
  (cluster, i) => cluster.agents[i].report(),
  (cluster, i) => cluster.agents[i].crashEngine(),
  (cluster, i) => cluster.setLink(cluster.agents[i], false),
  (cluster, i) => cluster.setLink(cluster.agents[i], true),
  (cluster, i) => {
    cluster.setLink(cluster.agents[i], false);
    cluster.agents[i].restart();
  },
  (cluster, i) =>
    cluster.agents[i].stepScheduler({
      type: 'server-status',
      status: schedulerFixture.status({zoneInService: i === 2}),
    }),
  (cluster, i) =>
    cluster.agents[i].stepScheduler({
      type: 'server-status',
      status: schedulerFixture.status(),
    }),
  cluster => cluster.tick(150),
  cluster => cluster.tick(20),
];

test('invariants hold for random event orders across entries and agents', () => {
  const event = fc.tuple(fc.nat(ACTIONS.length - 1), fc.nat(2));
  fc.assert(
    fc.property(
      fc.array(event, {minLength: 10, maxLength: 120}),
      fc.infiniteStream(fc.float({min: 0, max: Math.fround(0.999)})),
      (events, randomNumbers) => {
        const cluster = new Cluster(() => randomNumbers.next().value);
        events.forEach(([action, agent]) => {
          ACTIONS[action](cluster, agent);
          cluster.check();
        });
        cluster.settle();
      },
    ),
    {seed: SEED, numRuns: 2_000},
  );
});
