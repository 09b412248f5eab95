import type {ZoneDelay} from './zone_delay.js';
import type {ZonePolicy} from './zone_policy.js';
import type {ZoneSettings} from './zone_settings.js';

/** One-way delay between zones for which none is declared, in milliseconds. */
const DEFAULT_DELAY_MS = 1;

/** Policy of an operator's settings; undefined if these set no cost. */
export function createZonePolicy(
  {transferCost, delayMs}: ZoneSettings,
  delays: readonly ZoneDelay[] = [],
): ZonePolicy | undefined {
  if (transferCost === undefined) return undefined;
  const declared = (from: string, to: string) =>
    delays.find(({zones}) => zones.includes(from) && zones.includes(to))
      ?.delayMs;
  return {
    transferCost,
    delayMs: (from, to) => delayMs ?? declared(from, to) ?? DEFAULT_DELAY_MS,
  };
}
