import type {CallRecord} from './call_record.js';

interface RetentionOptions {
  /** Milliseconds for which the outcome of a call is kept. */
  readonly outcomeRetentionMs: number;
  /** Milliseconds a running call waits for an entry to attach. */
  readonly reattachTimeoutMs: number;
}

/** Pure operations on the records of an agent's calls. */
export const callRecords = {
  /** Returns the texts from a token index on. */
  textsFrom(record: CallRecord, index: number): readonly string[] {
    return record.texts.slice(Math.max(0, index - record.firstIndex));
  },

  /** Returns the index of the next token. */
  nextIndex(record: CallRecord): number {
    return record.firstIndex + record.texts.length;
  },

  /** Marks a call whose entry can't be reached. */
  detach(record: CallRecord, now: number): CallRecord {
    return {...record, linkId: undefined, detachedAt: now};
  },

  attach(record: CallRecord, linkId: string): CallRecord {
    return {...record, linkId, detachedAt: undefined};
  },

  /** True where nobody follows a running call any more. */
  isAbandoned(
    record: CallRecord,
    options: RetentionOptions,
    now: number,
  ): boolean {
    if (record.status === 'ended' || record.detachedAt === undefined) {
      return false;
    }
    return now - record.detachedAt >= options.reattachTimeoutMs;
  },

  /** True where the record may be forgotten. */
  isExpired(
    record: CallRecord,
    options: RetentionOptions,
    now: number,
  ): boolean {
    if (record.endedAt === undefined) return false;
    return now - record.endedAt >= options.outcomeRetentionMs;
  },
};
