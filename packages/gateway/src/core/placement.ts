import type {PromptPlacement} from '@figfall/decisions';

/** Backend servers chosen for a request. */
export interface Placement extends PromptPlacement {
  /** Number of eligible backend servers at the time of the choice. */
  readonly candidates: number;
  /** Servers left out because of their request rates, as a text for the log. */
  readonly heldBack: string;
  /** Availability zone of the server that receives the request. */
  readonly zone?: string;
  /** Set if this is not the gateway's own zone. */
  readonly leftZone?: {
    /** Predicted gain, if one decided. */
    readonly gain?: number;
    /** Predicted cost, if one is set. */
    readonly cost?: number;
  };
}
