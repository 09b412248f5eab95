import type {DoorOptions} from '@figfall/decisions';
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

/** Builds the options of a door from the record of its backend server. */
export function buildDoorOptions(
  view: ConfigView,
  backendServer: string,
  totalTokens: number,
): DoorOptions {
  const server = view.find('backend-server', backendServer);
  const limits = server ?? UNDECLARED;
  return {
    kind: server?.kind ?? 'model-engine',
    coldRunning: limits.coldRunning,
    warmRunning: limits.running,
    reportLagMs: REPORT_LAG_MS,
    slowFactor: SLOW_FACTOR,
    slowSamples: SLOW_SAMPLES,
    queueCalls: QUEUE_CALLS,
    queueTokens: QUEUE_TOKENS,
    agingMs: AGING_MS,
    prefillRate: limits.prefillTokensPerSecond,
    shortPrefillMs: SHORT_PREFILL_MS,
    longReserve: LONG_RESERVE,
    totalTokens,
  };
}
