/** An entry or agent of the zone, as the status writer last heard of it. */
interface NodeStatus {
  readonly id: string;
  readonly role: 'entry' | 'agent';
  /** Highest configuration version that it applies; undefined if unknown. */
  readonly revision?: number;
  readonly backendServer?: string;
  readonly phase?: string;
  readonly inService?: boolean;
  readonly running?: number;
  readonly queued?: number;
}

/** Status of an availability zone; stored as one platform object. */
export interface ZoneStatus {
  readonly zone: string;
  /** Time of writing, as RFC 3339. */
  readonly at: string;
  /** Id of the entry that wrote the status. */
  readonly writer: string;
  /** Highest configuration version that the writer knows. */
  readonly revision: number;
  /** RFC 3339 time since which all nodes apply it; undefined if some do not. */
  readonly inForceSince?: string;
  readonly nodes: readonly NodeStatus[];
}
