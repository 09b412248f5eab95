import type {NodeSettings} from '../node/node_settings.js';

/** Settings of an agent. */
export interface AgentSettings extends NodeSettings {
  /** Name of the agent's backend server in the configuration. */
  readonly backendServer: string;
  /** Base URL of the backend server. */
  readonly backendUrl: string;
  /** Host that the link, health and metrics ports are bound to. */
  readonly linkHost: string;
  /** 0 selects a free port. */
  readonly linkPort: number;
  /** Port of health and metrics; 0 selects a free port. */
  readonly metricsPort: number;
  /** Maximum claim ledger writes per second. */
  readonly ledgerWritesPerSecond: number;
  /** Milliseconds for which idempotency keys are retained. */
  readonly keyRetentionMs: number;
  /** Maximum concurrent loads from the weight store, across all agents. */
  readonly weightStoreLoads: number;
}
