import type {PromptPlacement} from '@figfall/decisions';

/** Where a request goes, and what there was to choose from. */
export interface Placement extends PromptPlacement {
  /** Backend servers that could have taken it. */
  readonly candidates: number;
}
