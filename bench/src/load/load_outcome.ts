import type {CallerResponse} from '@figfall/playground';
import type {PlannedRequest} from './planned_request.js';

/** A request of a workload with the answer that came. */
export interface LoadOutcome {
  readonly request: PlannedRequest;
  readonly answer: CallerResponse;
  /** True where the text was the one that the prompt calls for. */
  readonly isRight: boolean;
  /** Milliseconds from the start of the load to the answer's end. */
  readonly endedAt: number;
}
