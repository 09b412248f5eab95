import type {ColdStartOptions} from './cold_start_options.js';

/** Options of an agent's scheduler. */
export interface SchedulerOptions extends ColdStartOptions {
  readonly kind: 'model-engine' | 'plain-service';
  /** Largest number of queued calls. */
  readonly maxQueuedCalls: number;
  /** Largest number of queued prompt tokens. */
  readonly maxQueuedTokens: number;
  /** Milliseconds in the queue after which a call goes before all others. */
  readonly agingMs: number;
  /** Prefill rate in tokens per second, assumed until one is measured. */
  readonly initialPrefillRate: number;
  /** Maximum prefill work in the engine ahead of a short call, in milliseconds. */
  readonly shortPrefillBudgetMs: number;
  /** Share of the prefill rate, 0 to 1, kept for an overdue long prompt. */
  readonly longPrefillShare: number;
  /** Memory of the server in tokens; MAX_SAFE_INTEGER for a plain service. */
  readonly memoryTokens: number;
}
