import type {PromptPlacement} from './prompt_placement.js';

/** What to do with a prompt now. */
export type PromptPlan =
  | {readonly type: 'start'; readonly placement: PromptPlacement}
  | {
      /** Servers are to become free first. */
      readonly type: 'wait';
      /** Prompts with lower ranks start first. */
      readonly rank: number;
    }
  | {
      readonly type: 'refuse';
      readonly reason: string;
      /** Milliseconds after which it may be asked again. */
      readonly retryAfterMs: number;
    };
