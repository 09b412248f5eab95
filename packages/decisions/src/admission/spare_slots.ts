/** Requests that a server is sent beyond its slots, as a share of these. */
const SPARE_SHARE = 0.5;

/** Requests that a server with all its slots taken is sent ahead of time. */
export function spareSlots(slots: number): number {
  return Math.floor(slots * SPARE_SHARE);
}
