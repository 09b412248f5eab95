import {storeWatchWaitMs} from '@figfall/decisions';
import type {ConfigEntry, RandomSource} from '@figfall/decisions';
import {recordKeys} from '@figfall/operator';
import type {PlatformClient} from '@figfall/platform';
import {PLATFORM_TIMEOUT_MS} from './platform_timeout_ms.js';
import {toConfigEntry} from './to_config_entry.js';

interface PlatformWatcherOptions {
  readonly platform: Pick<PlatformClient, 'list' | 'watch'>;
  readonly random: RandomSource;
  /** True if this node watches for others of its availability zone. */
  readonly isWatcher: () => boolean;
  readonly onEntries: (entries: readonly ConfigEntry[]) => void;
}

/** Milliseconds between checks of whether this node is a watcher. */
const WATCHER_CHECK_MS = 500;

/** Average milliseconds before a failed read is retried. */
const RETRY_DELAY_MS = 500;

/** Milliseconds within which a record must be in force at all nodes. */
const IN_FORCE_MS = 8_000;

/** Milliseconds that a change takes from a watcher to all other nodes. */
const SPREAD_MS = 1_000;

/** Milliseconds that a watch may wait for changes. */
const WATCH_MS = storeWatchWaitMs({
  contactTimeoutMs: IN_FORCE_MS - SPREAD_MS,
  graceMs: PLATFORM_TIMEOUT_MS,
  recoveryMs: RETRY_DELAY_MS * 1.5,
});

/**
 * Milliseconds that a watch waits after a failure. It asks only whether the
 * platform answers, and must not outlast an outage on a dead connection.
 */
const PROBE_MS = 1;

/** Reads all records once, and then their changes while it is a watcher. */
export class PlatformWatcher {
  private revision = 0;
  private hasListed = false;
  private isReachable = false;
  private readonly abort = new AbortController();

  constructor(private readonly options: PlatformWatcherOptions) {}

  /** Reads once and returns the milliseconds until the next read. */
  async step(): Promise<number> {
    if (!this.hasListed) return this.list();
    if (!this.options.isWatcher()) return WATCHER_CHECK_MS;
    return this.watch();
  }

  /** Ends a watch that is under way. */
  stop(): void {
    this.abort.abort();
  }

  private async list(): Promise<number> {
    const {platform, onEntries} = this.options;
    const listed = await platform.list(recordKeys.prefix);
    if (listed.isErr()) return this.retryDelayMs();
    this.hasListed = true;
    this.isReachable = true;
    this.revision = listed.value.revision;
    onEntries(listed.value.objects.map(toConfigEntry));
    return 0;
  }

  private async watch(): Promise<number> {
    const {platform, onEntries} = this.options;
    const changed = await platform.watch(recordKeys.prefix, this.revision, {
      waitMs: this.isReachable ? WATCH_MS : PROBE_MS,
      signal: this.abort.signal,
    });
    this.isReachable = changed.isOk();
    if (changed.isErr()) return this.retryDelayMs();
    this.revision = Math.max(this.revision, changed.value.revision);
    onEntries(changed.value.objects.map(toConfigEntry));
    return 0;
  }

  private retryDelayMs(): number {
    return RETRY_DELAY_MS * (0.5 + this.options.random());
  }
}
