/** One node of an availability zone as its status writer knows it. */
interface NodeStatus {
  readonly id: string;
  readonly role: 'entry' | 'agent';
  /** Highest configuration version in force; undefined if not heard of. */
  readonly revision?: number;
  readonly backendServer?: string;
  readonly phase?: string;
  readonly inService?: boolean;
  readonly running?: number;
  readonly queued?: number;
}

/** Status of an availability zone, as one object of the platform. */
export interface ZoneStatus {
  readonly zone: string;
  /** Time of writing, as RFC 3339. */
  readonly at: string;
  readonly writer: string;
  /** Highest configuration version that the writer knows. */
  readonly revision: number;
  /** Time since which all nodes have that version; undefined if not all. */
  readonly inForceSince?: string;
  readonly nodes: readonly NodeStatus[];
}
