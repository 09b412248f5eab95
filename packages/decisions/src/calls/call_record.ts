import type {Failure} from '../errors/failure.js';

/** Result of a call at an agent. */
type CallResult =
  | {readonly type: 'done'; readonly count: number}
  | {readonly type: 'refused'; readonly failure: Failure}
  | {
      readonly type: 'failed';
      readonly failure: Failure;
      readonly crashed: boolean;
    };

/** An agent's record of one call, kept while an entry may attach to it. */
export interface CallRecord {
  readonly callId: string;
  readonly status: 'queued' | 'running' | 'ended';
  /** Token index of the first text that this attempt generates. */
  readonly firstIndex: number;
  readonly texts: readonly string[];
  readonly result?: CallResult;
  /** Link of the attached entry; undefined while detached. */
  readonly linkId?: string;
  /** Time in milliseconds at which the entry's link went down. */
  readonly detachedAt?: number;
  /** Time in milliseconds at which the result was set. */
  readonly endedAt?: number;
}
