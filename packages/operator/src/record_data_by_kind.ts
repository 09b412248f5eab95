/** Internal forms of records, the same for all schema versions. */
export interface RecordDataByKind {
  readonly workspace: {
    readonly name: string;
    /** SHA-256 of each bearer token, as hex. */
    readonly tokenHashes: readonly string[];
    /** Share of a busy backend server relative to other workspaces. */
    readonly weight: number;
    /** Requests that may run at once; unlimited if undefined. */
    readonly maxRunning?: number;
    /** Prompt tokens a second; unlimited if undefined. */
    readonly tokensPerSecond?: number;
  };
  readonly model: {
    readonly name: string;
    readonly version: string;
    /** Where the weight store keeps the weights. */
    readonly weights: string;
  };
  readonly adapter: {
    readonly name: string;
    readonly model: string;
    readonly version: string;
    readonly weights: string;
  };
  readonly placement: {
    readonly name: string;
    /** Name that callers use. */
    readonly model: string;
    readonly version: string;
    readonly adapter?: string;
    readonly replicas: number;
    /** Workspaces that may call the model; `*` stands for all. */
    readonly workspaces: readonly string[];
  };
  readonly service: {
    readonly name: string;
    /** Methods that may run more than once. */
    readonly idempotentMethods: readonly string[];
    readonly workspaces: readonly string[];
  };
  readonly 'availability-zone': {
    readonly name: string;
    readonly state: 'in' | 'out';
    readonly since?: string;
    /** Requests that may run in the availability zone at once. */
    readonly maxRunning?: number;
  };
  readonly 'backend-server': {
    readonly name: string;
    readonly kind: 'model-engine' | 'plain-service';
    readonly state: 'in' | 'out';
    readonly since?: string;
    /** Service that a plain service offers. */
    readonly service?: string;
    readonly running: number;
    readonly coldRunning: number;
    readonly prefillTokensPerSecond: number;
    /** Models that it can hold at once. */
    readonly modelSlots: number;
    readonly checksFencing: boolean;
  };
}
