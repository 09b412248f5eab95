import type {CallerResponse} from '@figfall/playground';
import type {PlannedRequest} from './planned_request.js';

/** A request of a workload and its answer. */
export interface LoadOutcome {
  readonly request: PlannedRequest;
  readonly answer: CallerResponse;
  /** True if the answer is complete and its text is the expected one. */
  readonly isCorrect: boolean;
  /** End of the answer, in milliseconds after the start of the load. */
  readonly endedAtMs: number;
}
