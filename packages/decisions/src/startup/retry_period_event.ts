/** How an attempt ended. */
export type RetryPeriodEvent =
  | {readonly type: 'failed'; readonly reason: string}
  | {readonly type: 'succeeded'};
