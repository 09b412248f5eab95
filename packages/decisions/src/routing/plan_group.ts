import {err, ok} from 'neverthrow';
import type {Result} from 'neverthrow';
import {createFailure} from '../errors/create_failure.js';
import type {Failure} from '../errors/failure.js';
import type {AgentView} from './agent_view.js';

/** One engine of a group and its part of the prompt. */
interface GroupMember {
  readonly agentId: string;
  /** Prompt tokens in the engine's part. */
  readonly promptTokens: number;
  /** Tokens to reserve on the engine, output included. */
  readonly reservedTokens: number;
}

/** Requirements of a prompt on its group of engines. */
interface GroupRequirements {
  readonly promptTokens: number;
  /** Tokens that may be generated; the last engine stores them. */
  readonly outputTokens: number;
  /** Availability zone whose engines are preferred. */
  readonly zone: string;
}

/** Share of an engine's KV cache that a group may use, from 0 to 1. */
const GROUP_MEMORY_SHARE = 0.85;

/** Returns the prompt tokens that an engine can store beside the output. */
function usablePromptTokens(
  view: AgentView,
  required: GroupRequirements,
): number {
  const tokens = Math.floor(view.report.totalTokens * GROUP_MEMORY_SHARE);
  return Math.max(0, tokens - required.outputTokens);
}

/** Returns a cost that is lower in the same zone and with more free memory. */
function placementCost(view: AgentView, zone: string): number {
  const zoneDistance = view.report.zone === zone ? 0 : 1;
  const freeShare =
    view.report.freeTokens / Math.max(1, view.report.totalTokens);
  return zoneDistance * 0.25 + (1 - freeShare);
}

function sum(values: readonly number[]): number {
  return values.reduce((total, value) => total + value, 0);
}

/** Takes engines in order until they can store the whole prompt. */
function takeEnough(
  ranked: readonly AgentView[],
  required: GroupRequirements,
): readonly AgentView[] {
  const lastIndex = ranked.findIndex((_, i) => {
    const capacities = ranked
      .slice(0, i + 1)
      .map(view => usablePromptTokens(view, required));
    return sum(capacities) >= required.promptTokens;
  });
  return ranked.slice(0, lastIndex + 1);
}

function promptTooLong(
  maxPromptTokens: number,
  required: GroupRequirements,
): Failure {
  return createFailure(
    'prompt-too-long',
    `The prompt has about ${required.promptTokens} tokens; at most ${maxPromptTokens} can be served now. Shorten the prompt.`,
  );
}

/**
 * Plans a group of engines for a prompt that is too long for one engine. Each
 * engine gets a part in proportion to its memory. Members are ordered by agent
 * id, the order in which memory is reserved, so that two groups that share
 * engines can't deadlock. Fails with `prompt-too-long` if all engines together
 * are too small.
 */
export function planGroup(
  views: readonly AgentView[],
  required: GroupRequirements,
): Result<readonly GroupMember[], Failure> {
  const maxPromptTokens = sum(
    views.map(view => usablePromptTokens(view, required)),
  );
  if (required.promptTokens > maxPromptTokens) {
    return err(promptTooLong(maxPromptTokens, required));
  }
  const ranked = [...views].sort(
    (a, b) =>
      placementCost(a, required.zone) - placementCost(b, required.zone) ||
      (a.report.agentId < b.report.agentId ? -1 : 1),
  );
  const chosen = takeEnough(ranked, required);
  const totalCapacity = sum(
    chosen.map(view => usablePromptTokens(view, required)),
  );
  const members = chosen
    .map(view => {
      const share = usablePromptTokens(view, required) / totalCapacity;
      const promptTokens = Math.ceil(required.promptTokens * share);
      return {
        agentId: view.report.agentId,
        promptTokens,
        reservedTokens: promptTokens + required.outputTokens,
      };
    })
    .sort((a, b) => (a.agentId < b.agentId ? -1 : 1));
  return ok(members);
}
