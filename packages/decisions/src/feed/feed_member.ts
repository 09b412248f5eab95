/** A gateway that understands relaying. */
export interface FeedMember {
  readonly id: string;
  /** Availability zone of the gateway. */
  readonly zone: string;
  /** Processor capacity in cores; 0 if it is not known. */
  readonly capacity: number;
}
