/** When the events of a stream came. */
export class StreamTimes {
  private firstAt?: number;
  private lastAt?: number;
  private longestMs = 0;

  /** Notes that events came at `now`. */
  note(now: number): void {
    this.firstAt ??= now;
    this.longestMs = Math.max(this.longestMs, now - (this.lastAt ?? now));
    this.lastAt = now;
  }

  firstEventAt(): number | undefined {
    return this.firstAt;
  }

  longestPauseMs(): number {
    return this.longestMs;
  }
}
