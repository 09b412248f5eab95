import type {ConfigEntry, RandomSource} from '@figfall/decisions';
import {recordKeys} from '@figfall/operator';
import type {PlatformClient} from '@figfall/platform';
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

/** Milliseconds that one watch request may wait for changes. */
const WATCH_MS = 20_000;

/** Reads all records once, and then their changes while it is a watcher. */
export class PlatformWatcher {
  private revision = 0;
  private hasListed = false;
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
    this.revision = listed.value.revision;
    onEntries(listed.value.objects.map(toConfigEntry));
    return 0;
  }

  private async watch(): Promise<number> {
    const {platform, onEntries} = this.options;
    const changed = await platform.watch(recordKeys.prefix, this.revision, {
      waitMs: WATCH_MS,
      signal: this.abort.signal,
    });
    if (changed.isErr()) return this.retryDelayMs();
    this.revision = Math.max(this.revision, changed.value.revision);
    onEntries(changed.value.objects.map(toConfigEntry));
    return 0;
  }

  private retryDelayMs(): number {
    return RETRY_DELAY_MS * (0.5 + this.options.random());
  }
}
