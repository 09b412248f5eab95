/** How a hedge ended without an answer. */
export interface HedgeEnd {
  /** `refused` if the request certainly did not run. */
  readonly result: 'refused' | 'failed';
  readonly reason: string;
  readonly isUnreachable: boolean;
}
