import type {PromptPlacement} from './prompt_placement.js';

/** Decision on a prompt. */
export type PromptPlan =
  | {readonly type: 'start'; readonly placement: PromptPlacement}
  | {
      /** Queue the prompt until servers become free. */
      readonly type: 'wait';
      /** Prompts with lower ranks start first. */
      readonly rank: number;
    }
  | {
      readonly type: 'refuse';
      readonly reason: string;
      /** Time in milliseconds after which the caller may retry. */
      readonly retryAfterMs: number;
    };
