import {test} from 'node:test';
import {expect} from 'earl';
import {monotonicNow} from '../monotonic_now.js';
import {repeatOnDemand} from '../repeat_on_demand.js';
import {runScoped} from '../run_scoped.js';

// Guards against checks that stay seldom once a request has arrived.
test('a timer without work runs again soon once it is woken', async () => {
  let isNeeded = false;
  let runs = 0;
  let onRun = () => undefined as void;
  const nextRun = () => new Promise<void>(resolve => (onRun = resolve));
  const first = nextRun();
  const {value, close} = await runScoped(
    repeatOnDemand({
      intervalMs: 1,
      idleMs: 3_600_000,
      isNeeded: () => isNeeded,
      action: () => {
        runs += 1;
        onRun();
      },
    }),
  );
  await first;
  const second = nextRun();
  isNeeded = true;
  setImmediate(value.wake);
  await second;
  await nextRun();
  await close();
  expect(runs).toBeGreaterThanOrEqual(3);
});

test('a timer tells by how much the event loop is late', async () => {
  const {value, close} = await runScoped(
    repeatOnDemand({
      intervalMs: 1,
      idleMs: 1,
      isNeeded: () => true,
      action: () => undefined,
    }),
  );
  const before = monotonicNow();
  while (monotonicNow() < before + 50);
  const lateMs = value.lateMs();
  await close();
  expect(lateMs).toBeGreaterThanOrEqual(48);
});
