import type {WorkChange} from '../serving/work_change.js';

/** A change that is numbered by its owner and may pass through relays. */
export type FeedChange = Extract<
  WorkChange,
  {readonly type: 'start' | 'prefilled' | 'wait' | 'end'}
>;
