import type {DoorCall} from '../door/door_call.js';
import type {DoorCondition} from '../door/door_condition.js';
import type {DoorOptions} from '../door/door_options.js';

/** Values that tests of the door start from. */
export const doorFixture = {
  options(overrides: Partial<DoorOptions> = {}): DoorOptions {
    return {
      kind: 'model-engine',
      coldRunning: 2,
      warmRunning: 8,
      reportLagMs: 100,
      slowFactor: 2.5,
      slowSamples: 3,
      queueCalls: 32,
      queueTokens: 1_000_000,
      agingMs: 5_000,
      prefillRate: 10_000,
      shortPrefillMs: 1_000,
      longReserve: 0.3,
      totalTokens: 100_000,
      ...overrides,
    };
  },

  condition(overrides: Partial<DoorCondition> = {}): DoorCondition {
    return {
      declared: true,
      zoneIn: true,
      serverIn: true,
      leaving: false,
      serves: ['m'],
      zoneShare: Number.MAX_SAFE_INTEGER,
      ...overrides,
    };
  },

  call(callId: string, overrides: Partial<DoorCall> = {}): DoorCall {
    return {
      callId,
      workspace: 'w',
      target: 'm',
      callClass: 'short',
      promptTokens: 100,
      totalTokens: 120,
      deadlineAt: 1_000_000,
      alone: false,
      fingerprint: callId,
      arrivedAt: 0,
      ...overrides,
    };
  },
};
