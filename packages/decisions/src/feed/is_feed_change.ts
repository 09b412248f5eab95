import type {WorkChange} from '../serving/work_change.js';
import type {FeedChange} from './feed_change.js';

const FEED_TYPES: readonly WorkChange['type'][] = [
  'start',
  'prefilled',
  'wait',
  'end',
];

/** True for a change that is numbered and may pass through relays. */
export function isFeedChange(change: WorkChange): change is FeedChange {
  return FEED_TYPES.includes(change.type);
}
