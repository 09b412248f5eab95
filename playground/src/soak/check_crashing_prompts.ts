import {KNOWN_AFTER_CRASHES} from './known_after_crashes.js';
import type {SoakObservations} from './soak_observations.js';

/** Time after the last of these crashes from which the limit applies. */
const CONTACT_TIMEOUT_MS = 3_000;

/** Requests with a known part that may still reach servers. */
const ARRIVALS_MAX = 3;

type Observations = Pick<
  SoakObservations,
  | 'arrivals'
  | 'promptCrashes'
  | 'crashingPartByRequestId'
  | 'gatewayByRequestId'
  | 'gatewayDisruptions'
>;

/** True if a gateway was paused or restarted shortly before `at`. */
function wasDisrupted(
  {gatewayDisruptions}: Observations,
  gateway: string | undefined,
  at: number,
): boolean {
  return gatewayDisruptions.some(
    span =>
      span.gateway === gateway &&
      span.from < at &&
      span.to > at - CONTACT_TIMEOUT_MS,
  );
}

/**
 * Checks that prompts with a part that crashes servers stop being sent, soon
 * after five servers have crashed under it.
 */
export function checkCrashingPrompts(
  observations: Observations,
): readonly string[] {
  const {arrivals, promptCrashes, crashingPartByRequestId} = observations;
  const {gatewayByRequestId} = observations;
  const parts = new Set(crashingPartByRequestId.values());
  return [...parts].flatMap(part => {
    const crashes = promptCrashes.filter(crash => crash.part === part);
    const last = crashes[KNOWN_AFTER_CRASHES - 1];
    if (!last) return [];
    const late = arrivals
      .filter(({requestId}) => crashingPartByRequestId.get(requestId) === part)
      .filter(({at}) => at > last.at + CONTACT_TIMEOUT_MS)
      .filter(({requestId, at}) => {
        const gateway = gatewayByRequestId.get(requestId);
        return !wasDisrupted(observations, gateway, at);
      });
    if (late.length <= ARRIVALS_MAX) return [];
    return [
      `sent-crashing-part ${part}: ${late.length} requests reached servers after ${KNOWN_AFTER_CRASHES} of them had crashed`,
    ];
  });
}
