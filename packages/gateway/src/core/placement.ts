import type {PromptPlacement} from '@figfall/decisions';

/** Backend servers chosen for a request. */
export interface Placement extends PromptPlacement {
  /** Number of eligible backend servers at the time of the choice. */
  readonly candidates: number;
  /** Servers left out because of their request rates, as a text for the log. */
  readonly heldBack: string;
}
