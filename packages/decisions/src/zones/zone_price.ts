import type {ZonePolicy} from './zone_policy.js';

const BYTES_PER_MEGABYTE = 1_000_000;

interface ZoneTransfer {
  readonly from: string;
  readonly to: string;
  /** Bytes expected between the zones, of the request and its response. */
  readonly bytes: number;
  /** Cost of a number of milliseconds by which the response comes later. */
  readonly delayCost: (ms: number) => number;
}

/**
 * Cost of sending a request, or a part of one, from one availability zone to
 * another, relative to the value of one short response; 0 within a zone.
 */
export function zonePrice(
  {transferCost, delayMs}: ZonePolicy,
  {from, to, bytes, delayCost}: ZoneTransfer,
): number {
  if (from === to) return 0;
  return (
    (bytes / BYTES_PER_MEGABYTE) * transferCost +
    delayCost(2 * delayMs(from, to))
  );
}
