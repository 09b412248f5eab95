import type {CallRecord} from './call_record.js';

interface RetentionOptions {
  /** Milliseconds for which the record of an ended call is kept. */
  readonly outcomeRetentionMs: number;
  /** Milliseconds that a call waits for an entry to attach again. */
  readonly reattachTimeoutMs: number;
}

/** Pure functions on an agent's call records. */
export const callRecords = {
  /** Returns the texts at a token index and after it. */
  textsFrom(record: CallRecord, index: number): readonly string[] {
    return record.texts.slice(Math.max(0, index - record.firstIndex));
  },

  /** Returns the index of the next token to be generated. */
  nextIndex(record: CallRecord): number {
    return record.firstIndex + record.texts.length;
  },

  /** Marks a call as detached from its entry. */
  detach(record: CallRecord, now: number): CallRecord {
    return {...record, linkId: undefined, detachedAt: now};
  },

  /** Attaches the entry on a link to a call. */
  attach(record: CallRecord, linkId: string): CallRecord {
    return {...record, linkId, detachedAt: undefined};
  },

  /** Returns true if a call has had no entry for `reattachTimeoutMs`. */
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

  /** Returns true if the record of an ended call may be deleted. */
  isExpired(
    record: CallRecord,
    options: RetentionOptions,
    now: number,
  ): boolean {
    if (record.endedAt === undefined) return false;
    return now - record.endedAt >= options.outcomeRetentionMs;
  },
};
