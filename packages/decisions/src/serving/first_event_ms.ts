import type {Candidate} from './candidate.js';
import {engineTime} from './engine_time.js';
import type {PromptRequest} from './prompt_request.js';

/** Scheduling passes after which a slot of a full server becomes free. */
const PASSES_PER_SLOT = 8;

/** Predicted milliseconds until the first event of a prompt sent now. */
export function firstEventMs(
  {load, pace = 1}: Candidate,
  request: PromptRequest,
  prefillMs: number,
): number {
  const missingSlots = Math.max(0, load.running + 1 - request.engine.slots);
  const passMs = engineTime.passMs(request.engine, load.decoding + 1);
  // While others decode, a prompt waits for the end of the current pass, is
  // prefilled in the next one, and decodes from the one after that.
  const joinMs = load.decoding > 0 ? passMs / 2 + passMs : 0;
  const slotWaitMs = missingSlots * passMs * PASSES_PER_SLOT;
  const totalMs = joinMs + load.backlogMs + prefillMs + passMs + slotWaitMs;
  return totalMs * pace;
}
