/** What became of a caller's request. */
export interface LimitedOutcome {
  readonly workspace: string;
  readonly route: string;
  readonly sentAt: number;
  readonly endedAt: number;
  readonly result: 'answered' | 'refused' | 'failed';
  readonly retryAfterMs?: number;
}
