import type {EngineProfile} from './engine_profile.js';

/** A prompt that needs model engines. */
export interface PromptRequest {
  readonly engine: EngineProfile;
  readonly promptTokens: number;
  readonly outputTokens: number;
  /** Milliseconds within which the first event is on time. */
  readonly latencyTargetMs: number;
  /** Longest pause in milliseconds between events. */
  readonly pauseMs: number;
  /** Availability zone of the entry. */
  readonly zone: string;
  /** Milliseconds that the prompt has waited here. */
  readonly waitedMs: number;
  /** Milliseconds from its arrival for which its caller waits for an event. */
  readonly firstEventTimeoutMs: number;
  /** Lowest rank of the other prompts that wait; Infinity where none does. */
  readonly lowestOtherRank: number;
}
