import {test} from 'node:test';
import {createPlatformClient} from '@figfall/platform';
import {startFakePlatform} from '@figfall/playground';
import {expect} from 'earl';
import {AGENT} from '../agent_constants.js';
import {LedgerSweeper} from '../ledger_sweeper.js';

const RETENTION_MS = 86_400_000;
const RETENTION_MARGIN_MS = 3_600_000;
const NOW = 1_000 * AGENT.LEDGER_SEGMENT_MS;

test('only segments past the retention are deleted', async () => {
  const fakePlatform = await startFakePlatform();
  const platform = createPlatformClient({
    baseUrl: fakePlatform.baseUrl,
    timeoutMs: 1_000,
  });
  try {
    const oldest = NOW - RETENTION_MS - RETENTION_MARGIN_MS;
    const expired = Math.floor(oldest / AGENT.LEDGER_SEGMENT_MS) - 1;
    const keys = [
      `ledger/s/${expired}/0/0`,
      `ledger/s/${expired}/0/1`,
      `ledger/s/${expired + 1}/0/0`,
      `ledger/other/${expired}/0/0`,
    ];
    keys.forEach(key => fakePlatform.objects.put(key, '{}'));
    const sweeper = new LedgerSweeper({platform, retentionMs: RETENTION_MS});
    await sweeper.sweep('s', NOW);
    const remaining = fakePlatform.objects.listByPrefix('ledger/', 0).objects;
    expect(remaining.map(({key}) => key)).toEqual(keys.slice(2));
  } finally {
    await fakePlatform.close();
  }
});
