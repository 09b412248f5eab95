import type {ColdStartOptions} from './cold_start_options.js';

/** Options of an agent's door. */
export interface SchedulerOptions extends ColdStartOptions {
  readonly kind: 'model-engine' | 'plain-service';
  /** Largest number of queued calls. */
  readonly maxQueuedCalls: number;
  /** Largest number of queued prompt tokens. */
  readonly maxQueuedTokens: number;
  /** Milliseconds after which a queued call goes before all others. */
  readonly agingMs: number;
  /** Prefill rate in tokens a second assumed before one is measured. */
  readonly initialPrefillRate: number;
  /** Milliseconds of short prefill work kept inside the engine. */
  readonly shortPrefillBudgetMs: number;
  /** Share of the prefill rate that an overdue long prompt is left. */
  readonly longPrefillShare: number;
  /** Memory of the backend server in tokens; unlimited if undefined. */
  readonly memoryTokens: number;
}
