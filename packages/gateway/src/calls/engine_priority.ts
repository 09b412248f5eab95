import {GATEWAY} from '../constants.js';
import type {CallSpec} from './call_spec.js';

/** Number of priorities that an engine knows, 0 first. */
const ENGINE_PRIORITIES = 10;

/** Priority at the engine: by level, then short prompts before long ones. */
export function enginePriority({
  req,
  routeLevel,
}: CallSpec): number | undefined {
  if (!req.prompt) return undefined;
  const isLong = req.prompt.promptTokens > GATEWAY.LONG_PROMPT_TOKENS;
  const {level, levels} = routeLevel;
  if (levels > 1) {
    const position = level * 2 + (isLong ? 1 : 0);
    const step = Math.min(1, ENGINE_PRIORITIES / (levels * 2));
    return Math.floor(position * step);
  }
  return isLong ? GATEWAY.LONG_PROMPT_PRIORITY : GATEWAY.SHORT_PROMPT_PRIORITY;
}
