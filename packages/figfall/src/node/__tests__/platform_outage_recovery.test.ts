import {test} from 'node:test';
import type {PlatformClient} from '@figfall/platform';
import {expect} from 'earl';
import {err, ok} from 'neverthrow';
import {PLATFORM_TIMEOUT_MS} from '../platform_timeout_ms.js';
import {PlatformWatcher} from '../platform_watcher.js';

const OUTAGE_ENDS_AT = 60_000;

/** Milliseconds within which a change is in force at all nodes. */
const IN_FORCE_MS = 8_000;

/** Milliseconds that a change takes from a watcher to the other nodes. */
const SPREAD_MS = 1_000;

const LOST = {type: 'lost', message: 'no data'} as const;

/**
 * Returns the milliseconds from the platform's return to the moment at which a
 * watcher knows a change, if its first unanswered call is sent at `lostAt`.
 * Calls that are sent while the platform is silent are never answered.
 */
async function measureRecovery(lostAt: number): Promise<number> {
  let now = 0;
  let isKnown = false;
  const changed = {key: 'k', value: 'new', version: 2};
  const platform: Pick<PlatformClient, 'list' | 'watch'> = {
    list: () => Promise.resolve(ok({objects: [], revision: 1})),
    watch: (_prefix, _since, {waitMs}) => {
      if (now >= OUTAGE_ENDS_AT) {
        return Promise.resolve(ok({objects: [changed], revision: 2}));
      }
      now += waitMs + PLATFORM_TIMEOUT_MS;
      return Promise.resolve(err(LOST));
    },
  };
  const watcher = new PlatformWatcher({
    platform,
    random: () => 1,
    isWatcher: () => true,
    onEntries: entries => (isKnown = entries.length > 0),
  });
  await watcher.step();
  now = lostAt;
  while (!isKnown) {
    const pauseMs = await watcher.step();
    now += pauseMs;
  }
  return now - OUTAGE_ENDS_AT;
}

test('a record written after a silent outage of the platform is in force in time', async () => {
  const starts = Array.from({length: 60}, (_, i) => OUTAGE_ENDS_AT - i * 500);
  const recoveries = await Promise.all(starts.map(measureRecovery));
  const late = recoveries.filter(ms => ms > IN_FORCE_MS - SPREAD_MS);
  expect(late).toEqual([]);
});
