import type {PromptPlacement} from '@figfall/decisions';

/** Backend servers chosen for a request. */
export interface Placement extends PromptPlacement {
  /** Number of eligible backend servers at the time of the choice. */
  readonly candidates: number;
}
