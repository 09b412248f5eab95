import type {PromptPlacement} from './prompt_placement.js';

/** Decision on a prompt. */
export type PromptPlan =
  | {readonly type: 'start'; readonly placement: PromptPlacement}
  | {
      /** Queue the prompt until servers become free. */
      readonly type: 'wait';
      /** Prompts with lower ranks start first. */
      readonly rank: number;
      /** While this holds, another plan gives the same result. */
      readonly hold: {
        /** It holds while a prompt waits whose rank is lower than this. */
        readonly rank: number;
        /** Milliseconds after which the prompt's own rank may have changed. */
        readonly ms: number;
      };
    }
  | {
      readonly type: 'refuse';
      readonly reason: string;
      /** Time in milliseconds after which the caller may retry. */
      readonly retryAfterMs: number;
    };
