import type {NodeSettings} from '../node/node_settings.js';

/** Settings of an agent. */
export interface AgentSettings extends NodeSettings {
  /** Name of the backend server beside the agent. */
  readonly backendServer: string;
  /** Base URL of the backend server. */
  readonly backendUrl: string;
  readonly linkHost: string;
  /** 0 chooses a free port. */
  readonly linkPort: number;
  /** Port of health and metrics; 0 chooses a free port. */
  readonly metricsPort: number;
  /** Writes of the claim ledger a second. */
  readonly ledgerWritesPerSecond: number;
  /** Milliseconds for which idempotency keys are remembered. */
  readonly keyRetentionMs: number;
  /** Loads that the weight store bears at once, from all agents. */
  readonly weightStoreLoads: number;
}
