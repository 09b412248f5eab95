import type {WorkItem} from './work_item.js';

/** A change of an entry's work, as it tells other entries. */
export type WorkChange =
  | {readonly type: 'start'; readonly work: WorkItem}
  | {readonly type: 'prefilled'; readonly workId: string}
  | {readonly type: 'end'; readonly workId: string};
