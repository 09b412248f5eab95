import type {PermitList} from './permit_list.js';

interface PermitOptions {
  /** Loads that the weight store bears at once. */
  readonly limit: number;
  readonly ttlMs: number;
}

/** Adds a permit where fewer than the limit are live; else nothing. */
export function acquirePermit(
  list: PermitList,
  holder: string,
  options: PermitOptions,
  now: number,
): PermitList | undefined {
  const live = list.permits.filter(permit => permit.expiresAt > now);
  const others = live.filter(permit => permit.holder !== holder);
  if (others.length >= options.limit) return undefined;
  const expiresAt = now + options.ttlMs;
  return {permits: [...others, {holder, expiresAt}]};
}
