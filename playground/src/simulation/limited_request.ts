/** A request of a caller in a deployment with limited servers. */
export interface LimitedRequest {
  /** Index of the gateway. */
  readonly gateway: number;
  /** @default 'lindenau' */
  readonly workspace?: string;
  /** @default 'read' */
  readonly route?: 'read' | 'book';
}
