import type {FeedChange} from './feed_change.js';

/** Successive changes of one gateway's work. */
export interface WorkSection {
  /** Incarnation of the gateway whose work it is. */
  readonly owner: string;
  /** Number of the last change; the owner numbers its changes from 1. */
  readonly lastNumber: number;
  readonly changes: readonly FeedChange[];
}
