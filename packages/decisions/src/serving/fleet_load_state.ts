import type {HashMap} from 'effect/HashMap';
import type {WaitingPrompt} from './waiting_prompt.js';
import type {recentArrivals} from './recent_arrivals.js';
import type {WorkItem} from './work_item.js';

/** A work item and its progress. */
interface TrackedWork extends WorkItem {
  /** Gateway that sent the request. */
  readonly owner: string;
  /** Time in milliseconds at which this gateway learned of the work. */
  readonly startedAt: number;
  readonly prefilled: boolean;
}

type WorkById = ReadonlyMap<string, TrackedWork>;

/**
 * Work on all backend servers, as one gateway knows it. The large maps are
 * persistent, since they change with each request of the whole deployment.
 */
export interface FleetLoadState {
  /** Running work by server id, then by work id. */
  readonly byServer: HashMap<string, WorkById>;
  /** Queued prompts, by the ids of their requests. */
  readonly waiting: ReadonlyMap<string, WaitingPrompt>;
  /** Waits that ended in a row while less urgent prompts went on waiting. */
  readonly passedOver: number;
  /** Server id of each running work item, by work id. */
  readonly serverOf: HashMap<string, string>;
  /** Prompts that were sent lately. */
  readonly recent: ReturnType<typeof recentArrivals.empty>;
}
