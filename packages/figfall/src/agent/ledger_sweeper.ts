import type {PlatformClient} from '@figfall/platform';
import {AGENT} from './agent_constants.js';

interface LedgerSweeperOptions {
  readonly platform: PlatformClient;
  /** Milliseconds for which idempotency keys are retained. */
  readonly retentionMs: number;
}

/** Milliseconds for which segments are kept beyond the key retention. */
const RETENTION_MARGIN_MS = 3_600_000;

/**
 * Deletes ledger segments whose keys are all past the retention. Nodes may
 * sweep concurrently, because each delete is conditional on a version.
 */
export class LedgerSweeper {
  private lastSweptSegment?: number;

  constructor(private readonly options: LedgerSweeperOptions) {}

  /** Deletes the newest expired segment of a service, unless already done. */
  async sweep(service: string, now: number): Promise<void> {
    const oldestKept = now - this.options.retentionMs - RETENTION_MARGIN_MS;
    const segment = Math.floor(oldestKept / AGENT.LEDGER_SEGMENT_MS) - 1;
    if (segment === this.lastSweptSegment) return;
    this.lastSweptSegment = segment;
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
