/** Decoded data of each record kind, the same for all schema versions. */
export interface RecordDataByKind {
  readonly workspace: {
    readonly name: string;
    /** SHA-256 hash of each bearer token, in lower-case hex. */
    readonly tokenHashes: readonly string[];
    /** Relative share of a busy backend server, against other workspaces. */
    readonly weight: number;
    /** Maximum of concurrent requests; unlimited if undefined. */
    readonly maxRunning?: number;
    /** Prompt tokens per second; unlimited if undefined. */
    readonly tokensPerSecond?: number;
  };
  readonly model: {
    readonly name: string;
    readonly version: string;
    /** Location of the weights in the weight store. */
    readonly weights: string;
  };
  readonly adapter: {
    readonly name: string;
    readonly model: string;
    readonly version: string;
    /** Location of the weights in the weight store. */
    readonly weights: string;
  };
  readonly placement: {
    readonly name: string;
    /** Model name that callers use. */
    readonly model: string;
    readonly version: string;
    readonly adapter?: string;
    readonly replicas: number;
    /** Workspaces that may call the model; `*` allows all. */
    readonly workspaces: readonly string[];
  };
  readonly service: {
    readonly name: string;
    /** HTTP methods that are safe to run more than once. */
    readonly idempotentMethods: readonly string[];
    readonly workspaces: readonly string[];
  };
  readonly 'availability-zone': {
    readonly name: string;
    /** In or out of service. */
    readonly state: 'in' | 'out';
    /** Time of the last change of state, as RFC 3339. */
    readonly since?: string;
    /** Maximum of concurrent requests in the zone; unlimited if undefined. */
    readonly maxRunning?: number;
  };
  readonly 'backend-server': {
    readonly name: string;
    readonly kind: 'model-engine' | 'plain-service';
    /** In or out of service. */
    readonly state: 'in' | 'out';
    /** Time of the last change of state, as RFC 3339. */
    readonly since?: string;
    /** Name of the service record that a plain service implements. */
    readonly service?: string;
    /** Maximum of concurrent requests. */
    readonly running: number;
    /** Maximum of concurrent requests while the backend server is cold. */
    readonly coldRunning: number;
    readonly prefillTokensPerSecond: number;
    /** Maximum of loaded models. */
    readonly modelSlots: number;
    /** True if it rejects orders with an outdated fencing number. */
    readonly checksFencing: boolean;
  };
}
