import type {AgentView} from './agent_view.js';
import {ROUTING} from './routing_constants.js';

/**
 * Predicts the time to first token of a prompt at an agent, in milliseconds,
 * from its last report and what was sent since. A short prompt overtakes long
 * ones at the engine, so only the short prompts ahead of it count.
 */
export function predictWaitMs(view: AgentView, promptTokens: number): number {
  const rate =
    view.report.prefillRate || ROUTING.ASSUMED_PREFILL_TOKENS_PER_SECOND;
  const isLong = promptTokens > ROUTING.LONG_PROMPT_TOKENS;
  const tokensAhead = isLong
    ? view.report.pendingTokens + view.sentTokens
    : view.report.pendingShortTokens + view.sentShortTokens;
  const tokens = tokensAhead + promptTokens;
  const prefillMs = (tokens / rate) * 1_000;
  const callsAhead = view.report.running + view.report.queued + view.sentCalls;
  const callsOverLimit = Math.max(0, callsAhead + 1 - view.report.runningLimit);
  const slotMs =
    (callsOverLimit / Math.max(1, view.report.runningLimit)) * 1_000;
  return prefillMs + slotMs;
}
