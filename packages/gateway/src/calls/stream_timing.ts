/** Arrival times of a stream's events, in milliseconds. */
export class StreamTiming {
  private firstAt?: number;
  private lastAt?: number;
  private longestMs = 0;

  /** Records that events arrived at `now`. */
  record(now: number): void {
    this.firstAt ??= now;
    this.longestMs = Math.max(this.longestMs, now - (this.lastAt ?? now));
    this.lastAt = now;
  }

  /** Time of the first event; undefined before it. */
  firstEventAt(): number | undefined {
    return this.firstAt;
  }

  /** Time of the last event; undefined before the first one. */
  lastEventAt(): number | undefined {
    return this.lastAt;
  }

  /** Longest pause between two events; 0 before the second one. */
  longestPauseMs(): number {
    return this.longestMs;
  }
}
