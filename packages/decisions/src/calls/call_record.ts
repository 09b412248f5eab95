import type {Failure} from '../errors/failure.js';

/** Result of a call that has ended at an agent. */
type CallResult =
  | {readonly type: 'done'; readonly count: number}
  | {readonly type: 'refused'; readonly failure: Failure}
  | {
      readonly type: 'failed';
      readonly failure: Failure;
      readonly crashed: boolean;
    };

/** What an agent keeps of one call, for as long as an entry may ask. */
export interface CallRecord {
  readonly callId: string;
  readonly status: 'queued' | 'running' | 'ended';
  /** Index of the first text that this attempt generates. */
  readonly firstIndex: number;
  readonly texts: readonly string[];
  readonly result?: CallResult;
  /** Link of the entry that follows the call, while there is one. */
  readonly linkId?: string;
  readonly detachedAt?: number;
  readonly endedAt?: number;
}
