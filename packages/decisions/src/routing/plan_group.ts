import {err, ok} from 'neverthrow';
import type {Result} from 'neverthrow';
import {createFailure} from '../errors/create_failure.js';
import type {Failure} from '../errors/failure.js';
import type {AgentView} from './agent_view.js';

/** The part of a prompt that one engine of a group holds. */
interface GroupMember {
  readonly agentId: string;
  /** Tokens to reserve on the engine. */
  readonly tokens: number;
}

/** Tokens that a prompt needs and how its segments may be cut. */
interface GroupNeed {
  readonly promptTokens: number;
  /** Tokens that may be generated; the last engine holds them. */
  readonly outputTokens: number;
  readonly zone: string;
}

/** Share of an engine's memory that a group may use. */
const GROUP_SHARE = 0.85;

function usable(view: AgentView): number {
  return Math.floor(view.report.totalTokens * GROUP_SHARE);
}

function preference(view: AgentView, zone: string): number {
  const away = view.report.zone === zone ? 0 : 1;
  const free = view.report.freeTokens / Math.max(1, view.report.totalTokens);
  return away * 0.25 + (1 - free);
}

/**
 * Plans the engines that together hold a prompt which one engine can't. The
 * members come in one global order, by agent id, so that two plans that want
 * the same engines never wait for each other.
 */
export function planGroup(
  views: readonly AgentView[],
  need: GroupNeed,
): Result<readonly GroupMember[], Failure> {
  const total = need.promptTokens + need.outputTokens;
  const capacity = views.reduce((sum, view) => sum + usable(view), 0);
  if (total > capacity) {
    const largest = Math.max(0, capacity - need.outputTokens);
    return err(
      createFailure(
        'prompt-too-long',
        `The prompt has about ${need.promptTokens} tokens; at most ${largest} can be served now. Shorten the prompt.`,
      ),
    );
  }
  const ranked = [...views].sort(
    (a, b) =>
      preference(a, need.zone) - preference(b, need.zone) ||
      (a.report.agentId < b.report.agentId ? -1 : 1),
  );
  const plan = ranked.reduce<{members: GroupMember[]; left: number}>(
    ({members, left}, view) => {
      if (left <= 0) return {members, left};
      const tokens = Math.min(left, usable(view));
      const member = {agentId: view.report.agentId, tokens};
      return {members: [...members, member], left: left - tokens};
    },
    {members: [], left: total},
  );
  return ok(plan.members.sort((a, b) => (a.agentId < b.agentId ? -1 : 1)));
}
