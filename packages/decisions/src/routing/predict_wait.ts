import type {AgentView} from './agent_view.js';
import {ROUTING} from './routing_constants.js';

/**
 * Predicts in milliseconds how long a prompt waits for its first token at an
 * agent, from the last report corrected by what was sent since.
 */
export function predictWait(view: AgentView, promptTokens: number): number {
  const rate = view.report.prefillRate || ROUTING.ASSUMED_PREFILL_RATE;
  const tokens = view.report.pendingTokens + view.sentTokens + promptTokens;
  const prefillMs = (tokens / rate) * 1_000;
  const busy = view.report.running + view.report.queued + view.sentCalls;
  const excess = Math.max(0, busy + 1 - view.report.runningLimit);
  const slotMs = (excess / Math.max(1, view.report.runningLimit)) * 1_000;
  return prefillMs + slotMs;
}
