import {err, ok} from 'neverthrow';
import type {Result} from 'neverthrow';
import {createFailure} from '../errors/create_failure.js';
import type {Failure} from '../errors/failure.js';
import type {AgentView} from './agent_view.js';

/** The part of a prompt that one engine of a group holds. */
interface GroupMember {
  readonly agentId: string;
  /** Prompt tokens that the engine holds. */
  readonly promptTokens: number;
  /** Tokens to reserve on the engine, output included. */
  readonly reservedTokens: number;
}

/** Tokens that a prompt needs. */
interface GroupNeed {
  readonly promptTokens: number;
  /** Tokens that may be generated; the last engine holds them. */
  readonly outputTokens: number;
  readonly zone: string;
}

/** Share of an engine's memory that a group may use. */
const GROUP_SHARE = 0.85;

function usable(view: AgentView, need: GroupNeed): number {
  const tokens = Math.floor(view.report.totalTokens * GROUP_SHARE);
  return Math.max(0, tokens - need.outputTokens);
}

function preference(view: AgentView, zone: string): number {
  const away = view.report.zone === zone ? 0 : 1;
  const free = view.report.freeTokens / Math.max(1, view.report.totalTokens);
  return away * 0.25 + (1 - free);
}

function sum(values: readonly number[]): number {
  return values.reduce((total, value) => total + value, 0);
}

/** Takes views in order until they hold the prompt together. */
function takeEnough(
  ranked: readonly AgentView[],
  need: GroupNeed,
): readonly AgentView[] {
  const count = ranked.findIndex((_, i) => {
    const held = ranked.slice(0, i + 1).map(view => usable(view, need));
    return sum(held) >= need.promptTokens;
  });
  return ranked.slice(0, count + 1);
}

function tooLong(largest: number, need: GroupNeed): Failure {
  return createFailure(
    'prompt-too-long',
    `The prompt has about ${need.promptTokens} tokens; at most ${largest} can be served now. Shorten the prompt.`,
  );
}

/**
 * Plans the engines that together hold a prompt which one engine can't, each
 * with a part in proportion to its memory. The members come in one global
 * order, by agent id, so that two plans that want the same engines never wait
 * for each other.
 */
export function planGroup(
  views: readonly AgentView[],
  need: GroupNeed,
): Result<readonly GroupMember[], Failure> {
  const largest = sum(views.map(view => usable(view, need)));
  if (need.promptTokens > largest) return err(tooLong(largest, need));
  const ranked = [...views].sort(
    (a, b) =>
      preference(a, need.zone) - preference(b, need.zone) ||
      (a.report.agentId < b.report.agentId ? -1 : 1),
  );
  const chosen = takeEnough(ranked, need);
  const held = sum(chosen.map(view => usable(view, need)));
  const members = chosen
    .map(view => {
      const share = usable(view, need) / held;
      const promptTokens = Math.ceil(need.promptTokens * share);
      return {
        agentId: view.report.agentId,
        promptTokens,
        reservedTokens: promptTokens + need.outputTokens,
      };
    })
    .sort((a, b) => (a.agentId < b.agentId ? -1 : 1));
  return ok(members);
}
