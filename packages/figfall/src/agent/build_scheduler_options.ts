import type {SchedulerOptions} from '@figfall/decisions';
import type {ConfigView} from '@figfall/operator';

/** Limits while the configuration has no record of the backend server. */
const UNDECLARED_SERVER_LIMITS = {
  running: 1,
  coldRunning: 1,
  prefillTokensPerSecond: 20_000,
};

const MAX_QUEUED_CALLS = 256;
const MAX_QUEUED_TOKENS = 4_000_000;
const AGING_MS = 10_000;
const SHORT_PREFILL_BUDGET_MS = 250;
const LONG_PREFILL_SHARE = 0.3;
const REPORT_LAG_MS = 1_000;
const SLOW_INTERVAL_FACTOR = 2.5;
const SLOW_INTERVAL_SAMPLES = 3;

/**
 * Builds the scheduler options from the configuration record of the backend
 * server. `totalTokens` is the engine's memory in tokens.
 */
export function buildSchedulerOptions(
  view: ConfigView,
  backendServer: string,
  totalTokens: number,
): SchedulerOptions {
  const server = view.find('backend-server', backendServer);
  const limits = server ?? UNDECLARED_SERVER_LIMITS;
  return {
    kind: server?.kind ?? 'model-engine',
    coldMaxRunning: limits.coldRunning,
    warmMaxRunning: limits.running,
    reportLagMs: REPORT_LAG_MS,
    slowIntervalFactor: SLOW_INTERVAL_FACTOR,
    slowIntervalSamples: SLOW_INTERVAL_SAMPLES,
    maxQueuedCalls: MAX_QUEUED_CALLS,
    maxQueuedTokens: MAX_QUEUED_TOKENS,
    agingMs: AGING_MS,
    initialPrefillRate: limits.prefillTokensPerSecond,
    shortPrefillBudgetMs: SHORT_PREFILL_BUDGET_MS,
    longPrefillShare: LONG_PREFILL_SHARE,
    memoryTokens: totalTokens,
  };
}
