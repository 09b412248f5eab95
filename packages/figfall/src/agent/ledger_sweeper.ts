import type {PlatformClient} from '@figfall/platform';
import {AGENT} from './agent_constants.js';

interface LedgerSweeperOptions {
  readonly platform: PlatformClient;
  /** Milliseconds for which idempotency keys are remembered. */
  readonly retentionMs: number;
}

/** Milliseconds beyond the retention for which segments are kept. */
const MARGIN_MS = 3_600_000;

/**
 * Deletes ledger segments whose keys are all past the retention. Two nodes
 * that sweep at once do no harm, because each delete names its version.
 */
export class LedgerSweeper {
  private sweptSegment?: number;

  constructor(private readonly options: LedgerSweeperOptions) {}

  /** Deletes the newest expired segment, once for each segment. */
  async sweep(service: string, now: number): Promise<void> {
    const oldestKept = now - this.options.retentionMs - MARGIN_MS;
    const segment = Math.floor(oldestKept / AGENT.LEDGER_SEGMENT_MS) - 1;
    if (segment === this.sweptSegment) return;
    this.sweptSegment = segment;
    const shards = Array.from({length: AGENT.LEDGER_SHARDS}, (_, i) => i);
    await Promise.all(
      shards.map(shard =>
        this.sweepParts(`ledger/${service}/${segment}/${shard}`, 0),
      ),
    );
  }

  private async sweepParts(prefix: string, part: number): Promise<void> {
    const {platform} = this.options;
    const key = `${prefix}/${part}`;
    const found = await platform.get(key);
    if (found.isErr()) return;
    await platform.remove(key, found.value.version);
    await this.sweepParts(prefix, part + 1);
  }
}
