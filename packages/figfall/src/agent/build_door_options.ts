import type {SchedulerOptions} from '@figfall/decisions';
import type {ConfigView} from '@figfall/operator';

/** Limits that hold until a record declares the backend server. */
const UNDECLARED = {running: 1, coldRunning: 1, prefillTokensPerSecond: 20_000};

const QUEUE_CALLS = 256;
const QUEUE_TOKENS = 4_000_000;
const AGING_MS = 10_000;
const SHORT_PREFILL_MS = 250;
const LONG_RESERVE = 0.3;
const REPORT_LAG_MS = 1_000;
const SLOW_FACTOR = 2.5;
const SLOW_SAMPLES = 3;

/** Builds the scheduler options from the record of its backend server. */
export function buildDoorOptions(
  view: ConfigView,
  backendServer: string,
  totalTokens: number,
): SchedulerOptions {
  const server = view.find('backend-server', backendServer);
  const limits = server ?? UNDECLARED;
  return {
    kind: server?.kind ?? 'model-engine',
    coldMaxRunning: limits.coldRunning,
    warmMaxRunning: limits.running,
    reportLagMs: REPORT_LAG_MS,
    slowIntervalFactor: SLOW_FACTOR,
    slowIntervalSamples: SLOW_SAMPLES,
    maxQueuedCalls: QUEUE_CALLS,
    maxQueuedTokens: QUEUE_TOKENS,
    agingMs: AGING_MS,
    initialPrefillRate: limits.prefillTokensPerSecond,
    shortPrefillBudgetMs: SHORT_PREFILL_MS,
    longPrefillShare: LONG_RESERVE,
    memoryTokens: totalTokens,
  };
}
