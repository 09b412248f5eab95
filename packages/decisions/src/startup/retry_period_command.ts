/** What to do after an attempt. */
export type RetryPeriodCommand =
  /** Say that the first attempt failed and that others follow. */
  | {readonly type: 'report-failure'; readonly reason: string}
  | {readonly type: 'try-again'; readonly delayMs: number}
  /** Say that an attempt succeeded after others had failed. */
  | {readonly type: 'report-success'; readonly tookMs: number}
  | {
      readonly type: 'give-up';
      readonly reason: string;
      readonly tookMs: number;
    };
