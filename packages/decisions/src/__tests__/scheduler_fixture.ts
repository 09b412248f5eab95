import type {ScheduledCall} from '../scheduler/scheduled_call.js';
import type {ServerStatus} from '../scheduler/server_status.js';
import type {SchedulerOptions} from '../scheduler/scheduler_options.js';

/** Defaults for scheduler tests, with overrides. */
export const schedulerFixture = {
  options(overrides: Partial<SchedulerOptions> = {}): SchedulerOptions {
    return {
      kind: 'model-engine',
      coldMaxRunning: 2,
      warmMaxRunning: 8,
      reportLagMs: 100,
      slowIntervalFactor: 2.5,
      slowIntervalSamples: 3,
      maxQueuedCalls: 32,
      maxQueuedTokens: 1_000_000,
      agingMs: 5_000,
      initialPrefillRate: 10_000,
      shortPrefillBudgetMs: 1_000,
      longPrefillShare: 0.3,
      memoryTokens: 100_000,
      ...overrides,
    };
  },

  status(overrides: Partial<ServerStatus> = {}): ServerStatus {
    return {
      declared: true,
      zoneInService: true,
      serverInService: true,
      leaving: false,
      servedTargets: ['m'],
      zoneLimitShare: Number.MAX_SAFE_INTEGER,
      ...overrides,
    };
  },

  call(callId: string, overrides: Partial<ScheduledCall> = {}): ScheduledCall {
    return {
      callId,
      workspace: 'w',
      target: 'm',
      callClass: 'short',
      promptTokens: 100,
      totalTokens: 120,
      deadlineAt: 1_000_000,
      runsAlone: false,
      fingerprint: callId,
      arrivedAt: 0,
      ...overrides,
    };
  },
};
