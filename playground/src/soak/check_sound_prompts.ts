import {KNOWN_AFTER_CRASHES} from './known_after_crashes.js';
import type {SoakObservations} from './soak_observations.js';

/** Time after the last of these crashes from which sound prompts are served. */
const SERVED_AFTER_MS = 6_000;

/** Fewest sound prompts by which gateways are judged. */
const PROMPTS_MIN = 20;

/** Share of the sound prompts that may be refused as suspects. */
const REFUSED_SHARE_MAX = 0.5;

/** In the answer to a prompt that is refused since servers may crash under it. */
const SUSPECT_KIND = '"suspect-request"';

type Observations = Pick<
  SoakObservations,
  'outcomes' | 'promptCrashes' | 'crashingPartByRequestId' | 'sentAtByRequestId'
>;

/** The span in which prompts with a part still come, though it is known. */
function knownSpan(
  {promptCrashes, crashingPartByRequestId, sentAtByRequestId}: Observations,
  part: string,
) {
  const crashes = promptCrashes.filter(crash => crash.part === part);
  const known = crashes[KNOWN_AFTER_CRASHES - 1] ?? crashes.at(-1);
  const sent = [...crashingPartByRequestId]
    .filter(([, other]) => other === part)
    .map(([requestId]) => sentAtByRequestId.get(requestId) ?? -Infinity);
  return {
    from: (known?.at ?? Infinity) + SERVED_AFTER_MS,
    to: Math.max(...sent),
  };
}

/**
 * Checks that prompts which share their first part with those that crash
 * servers are not refused with them.
 */
export function checkSoundPrompts(
  observations: Observations,
): readonly string[] {
  const {outcomes, crashingPartByRequestId, sentAtByRequestId} = observations;
  return [...new Set(crashingPartByRequestId.values())].flatMap(part => {
    const {from, to} = knownSpan(observations, part);
    const sound = outcomes
      .filter(({kind}) => kind === 'stream')
      .filter(({requestId}) => !crashingPartByRequestId.has(requestId))
      .filter(({requestId}) => {
        const sentAt = sentAtByRequestId.get(requestId) ?? -Infinity;
        return sentAt > from && sentAt < to;
      });
    const refused = sound.filter(({responseBody}) =>
      responseBody.includes(SUSPECT_KIND),
    );
    const isSound =
      sound.length < PROMPTS_MIN ||
      refused.length <= sound.length * REFUSED_SHARE_MAX;
    if (isSound) return [];
    return [
      `refused-sound-prompts ${part}: ${refused.length} of ${sound.length} prompts without the part were refused`,
    ];
  });
}
