import type {ZonePolicy} from './zone_policy.js';

/** What placing a prompt has to know of availability zones. */
export interface PromptZones {
  readonly policy: ZonePolicy;
  /** Size of the request's body. */
  readonly bodyBytes: number;
  /** Zone of the primary, if that has been decided. */
  readonly primaryZone?: string;
}
