interface RecentKeysOptions {
  /** Largest number of keys; those used longest ago are dropped first. */
  readonly max: number;
  /** Milliseconds after which a key is forgotten. */
  readonly ttlMs: number;
  /** Monotonic time in milliseconds. */
  readonly now: () => number;
}

/** Remembers keys for a while after their last use. */
export class RecentKeys {
  /** Time of the last use of each key, oldest first. */
  private readonly usedAt = new Map<string, number>();

  constructor(private readonly options: RecentKeysOptions) {}

  add(key: string): void {
    const {max, now} = this.options;
    this.usedAt.delete(key);
    this.usedAt.set(key, now());
    if (this.usedAt.size <= max) return;
    const [oldest] = this.usedAt.keys();
    if (oldest !== undefined) this.usedAt.delete(oldest);
  }

  has(key: string): boolean {
    const {ttlMs, now} = this.options;
    return now() - (this.usedAt.get(key) ?? -Infinity) < ttlMs;
  }
}
