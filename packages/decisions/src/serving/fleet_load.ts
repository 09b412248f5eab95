import type {WorkItem} from './work_item.js';

/** Work on a backend server with what has become of it. */
interface TrackedWork extends WorkItem {
  readonly owner: string;
  readonly startedAt: number;
  readonly prefilled: boolean;
}

type Works = ReadonlyMap<string, TrackedWork>;

/** Work on all backend servers, by server and by work id. */
export interface FleetLoad {
  readonly byServer: ReadonlyMap<string, Works>;
  /** Prompts that wait for servers, by the ids of their requests. */
  readonly waiting: ReadonlyMap<
    string,
    {readonly owner: string; readonly rank: number; readonly since: number}
  >;
  /** Server of each work. */
  readonly serverOf: ReadonlyMap<string, string>;
}
