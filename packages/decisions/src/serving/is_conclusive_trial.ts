import type {CrashEvidenceState} from './crash_evidence_state.js';
import type {CrashSuspect} from './crash_suspect.js';
import {recurringSuspects} from './recurring_suspects.js';

/** Crashes in common that make another key a rival. */
const RIVAL_CRASHES = 2;

/**
 * True if a blocked key has rivals, keys that were there at several of its losses
 * and at the last one, and a request with these keys has none of the likeliest of
 * them. Its answer would clear the key; that of a request with a rival tells
 * nothing. Where it crashes a server too, no rival is left.
 */
export function isConclusiveTrial(
  {suspects}: CrashEvidenceState,
  key: string,
  keys: readonly string[],
): boolean {
  if (!keys.includes(key)) return false;
  const own = suspects.get(key);
  const crashes = new Set((own?.losses ?? []).map(({crashId}) => crashId));
  const commonWith = (other?: CrashSuspect): number =>
    (other?.losses ?? []).filter(({crashId}) => crashes.has(crashId)).length;
  const lastCrashId = own?.losses.at(-1)?.crashId;
  const others = [...recurringSuspects(suspects)].filter(
    ([other, count]) =>
      (other !== own || count > 1) &&
      other.losses.some(({crashId}) => crashId === lastCrashId),
  );
  const most = Math.max(0, ...others.map(([other]) => commonWith(other)));
  if (most < RIVAL_CRASHES) return false;
  return keys.every(
    other => other === key || commonWith(suspects.get(other)) < most,
  );
}
