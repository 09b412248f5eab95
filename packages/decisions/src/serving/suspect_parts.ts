import {keepNewest} from '../shared/keep_newest.js';
import {mapWith} from '../shared/map_with.js';

/** A part of prompts under which servers were lost and none has answered. */
interface SuspectPart {
  /** Servers that were lost while they had a prompt with the part. */
  readonly serverIds: ReadonlySet<string>;
  /** Losses of servers one after the other, each by a prompt sent later. */
  readonly rounds: number;
  /** Time in milliseconds of the last loss or trial. */
  readonly updatedAt: number;
  /** True if prompts with the part are refused. */
  readonly isBlocked: boolean;
  /** Times that a prompt was let through since the part is blocked. */
  readonly trials: number;
}

type SuspectParts = ReadonlyMap<string, SuspectPart>;

interface LostServer {
  readonly serverId: string;
  /** Parts of a prompt that the server had not begun to answer. */
  readonly parts: readonly string[];
  /** Milliseconds from sending the prompt to the loss. */
  readonly heldMs: number;
}

/** Consecutive losses after which a part may be blocked. */
const BLOCK_AFTER_ROUNDS = 3;

/** Consecutive losses after which a part is blocked, though others fit too. */
const BLOCK_ALL_AFTER_ROUNDS = 5;

/** Milliseconds for which a part is blocked before its first trial. */
const BLOCK_MS = 60_000;

/** Trials after which the time between trials no longer doubles. */
const DOUBLED_TRIALS_MAX = 4;

/** Milliseconds after which a part that is not blocked is forgotten. */
const SUSPECT_TTL_MS = 60_000;

/** Milliseconds after which a blocked part without any prompts is forgotten. */
const BLOCKED_TTL_MS = 3_600_000;

/** Largest number of parts kept; the oldest are dropped first. */
const PARTS_MAX = 1_024;

/** Largest number of lost servers kept for a part. */
const SERVERS_MAX = 16;

const UNKNOWN: SuspectPart = {
  serverIds: new Set(),
  rounds: 0,
  updatedAt: -Infinity,
  isBlocked: false,
  trials: 0,
};

function includesAll(
  all: ReadonlySet<string>,
  some: ReadonlySet<string>,
): boolean {
  return [...some].every(id => all.has(id));
}

/**
 * True if another part was there at all losses of this one: a part of prompts
 * that were lost together with those of the culprit.
 */
function isExplained(
  parts: SuspectParts,
  part: string,
  {serverIds}: SuspectPart,
): boolean {
  return [...parts].some(
    ([other, suspect]) =>
      other !== part && includesAll(suspect.serverIds, serverIds),
  );
}

function blockedUntil({updatedAt, trials}: SuspectPart): number {
  return updatedAt + BLOCK_MS * 2 ** Math.min(trials, DOUBLED_TRIALS_MAX);
}

function addLoss(
  suspect: SuspectPart,
  {serverId, heldMs}: LostServer,
  now: number,
): SuspectPart {
  if (suspect.serverIds.has(serverId)) return suspect;
  const isNextRound = now - heldMs >= suspect.updatedAt;
  return {
    ...suspect,
    serverIds: new Set([...suspect.serverIds, serverId].slice(-SERVERS_MAX)),
    rounds: suspect.rounds + (isNextRound ? 1 : 0),
    updatedAt: isNextRound ? now : suspect.updatedAt,
  };
}

function blockIfGuilty(parts: SuspectParts, part: string): SuspectParts {
  const suspect = parts.get(part) ?? UNKNOWN;
  if (suspect.isBlocked || suspect.rounds < BLOCK_AFTER_ROUNDS) return parts;
  const isGuilty =
    suspect.rounds >= BLOCK_ALL_AFTER_ROUNDS ||
    !isExplained(parts, part, suspect);
  return isGuilty ? mapWith(parts, part, {...suspect, isBlocked: true}) : parts;
}

/**
 * Parts of prompts that may crash each server that begins to answer a prompt
 * with them, whatever else the prompt holds. Such prompts come at any gateway,
 * and no two are alike; others share their remaining parts. A lost server takes
 * sound prompts with it, so a part is blocked only if it stands out: servers
 * were lost under it one after the other, no other part was there each time,
 * and none of its prompts was answered.
 */
export const suspectParts = {
  empty(): SuspectParts {
    return new Map();
  },

  /** Records the loss of a server that had not begun to answer a prompt. */
  recordLoss(parts: SuspectParts, loss: LostServer, now: number): SuspectParts {
    const updated = loss.parts.reduce<SuspectParts>(
      (known, part) =>
        mapWith(known, part, addLoss(known.get(part) ?? UNKNOWN, loss, now)),
      parts,
    );
    const blocked = loss.parts.reduce(blockIfGuilty, updated);
    return keepNewest(blocked, PARTS_MAX);
  },

  /** Clears parts, because a server has begun to answer a prompt with them. */
  recordAnswer(parts: SuspectParts, answered: readonly string[]): SuspectParts {
    if (!answered.some(part => parts.has(part))) return parts;
    return new Map([...parts].filter(([part]) => !answered.includes(part)));
  },

  /** The blocked part of a prompt, with the time in milliseconds left. */
  findBlocked(
    parts: SuspectParts,
    promptParts: readonly string[],
    now: number,
  ): {readonly part: string; readonly forMs: number} | undefined {
    return promptParts
      .flatMap(part => {
        const suspect = parts.get(part);
        if (!suspect?.isBlocked) return [];
        return [{part, forMs: blockedUntil(suspect) - now}];
      })
      .find(({forMs}) => forMs > 0);
  },

  /** Parts of a prompt whose next trial it would be. */
  partsOnTrial(
    parts: SuspectParts,
    promptParts: readonly string[],
  ): readonly string[] {
    return promptParts.filter(part => parts.get(part)?.isBlocked);
  },

  /** Records that a prompt with a blocked part is sent, as its trial. */
  recordTrial(parts: SuspectParts, part: string, now: number): SuspectParts {
    const suspect = parts.get(part);
    if (!suspect?.isBlocked) return parts;
    const trials = suspect.trials + 1;
    return mapWith(parts, part, {...suspect, trials, updatedAt: now});
  },

  /** Ids of the parts that are blocked. */
  blocked(parts: SuspectParts): readonly string[] {
    return [...parts]
      .filter(([, {isBlocked}]) => isBlocked)
      .map(([part]) => part);
  },

  /** Adds a part that another gateway has blocked, unless it is known. */
  addBlocked(
    parts: SuspectParts,
    part: string,
    {trials, ageMs}: {readonly trials: number; readonly ageMs: number},
    now: number,
  ): SuspectParts {
    const known = parts.get(part) ?? UNKNOWN;
    if (known.isBlocked) return parts;
    const updatedAt = now - ageMs;
    const rounds = Math.max(known.rounds, BLOCK_AFTER_ROUNDS);
    const suspect = {...known, rounds, trials, updatedAt, isBlocked: true};
    return keepNewest(mapWith(parts, part, suspect), PARTS_MAX);
  },

  /** Removes parts without a recent loss or trial. */
  removeExpired(parts: SuspectParts, now: number): SuspectParts {
    const isCurrent = ({isBlocked, updatedAt}: SuspectPart) =>
      now - updatedAt < (isBlocked ? BLOCKED_TTL_MS : SUSPECT_TTL_MS);
    const current = [...parts].filter(([, suspect]) => isCurrent(suspect));
    return current.length === parts.size ? parts : new Map(current);
  },
};
