import type {AgentView} from './agent_view.js';
import {ROUTING} from './routing_constants.js';

/**
 * Predicts in milliseconds how long a prompt waits for its first token at an
 * agent, from the last report corrected by what was sent since. Short prompts
 * pass long ones at the engine, so they count only short work ahead of them.
 */
export function predictWaitMs(view: AgentView, promptTokens: number): number {
  const rate =
    view.report.prefillRate || ROUTING.ASSUMED_PREFILL_TOKENS_PER_SECOND;
  const isLong = promptTokens > ROUTING.LONG_PROMPT_TOKENS;
  const ahead = isLong
    ? view.report.pendingTokens + view.sentTokens
    : view.report.pendingShortTokens + view.sentShortTokens;
  const tokens = ahead + promptTokens;
  const prefillMs = (tokens / rate) * 1_000;
  const busy = view.report.running + view.report.queued + view.sentCalls;
  const excess = Math.max(0, busy + 1 - view.report.runningLimit);
  const slotMs = (excess / Math.max(1, view.report.runningLimit)) * 1_000;
  return prefillMs + slotMs;
}
