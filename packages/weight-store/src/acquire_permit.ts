import type {PermitList} from './permit_list.js';

interface PermitOptions {
  /** Concurrent loads that the weight store allows. */
  readonly limit: number;
  /** Lifetime of a permit in milliseconds. */
  readonly ttlMs: number;
}

/**
 * Adds or renews the holder's permit and removes expired ones. Returns
 * undefined if other holders already have `limit` permits.
 */
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
