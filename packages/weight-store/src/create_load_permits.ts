import type {PlatformClient} from '@figfall/platform';
import {acquirePermit} from './acquire_permit.js';
import type {PermitList} from './permit_list.js';

const PERMITS_KEY = 'permits/weight-store';

interface LoadPermitsOptions {
  readonly platform: PlatformClient;
  /** Concurrent loads that the weight store allows. */
  readonly limit: number;
  /** Lifetime of a permit in milliseconds. */
  readonly ttlMs: number;
}

/** Limits how many agents load from the weight store concurrently. */
export function createLoadPermits(options: LoadPermitsOptions) {
  const {platform} = options;

  const read = async (): Promise<
    {version: number; list: PermitList} | undefined
  > => {
    const stored = await platform.get(PERMITS_KEY);
    if (stored.isOk()) {
      const {version, value} = stored.value;
      return {version, list: JSON.parse(value) as PermitList};
    }
    if (stored.error.type !== 'not-found') return undefined;
    return {version: 0, list: {permits: []}};
  };

  return {
    /**
     * Tries to get a permit, and returns whether the holder may load now. A
     * write whose response was lost counts as no, though it may be stored.
     */
    tryAcquire: async (holder: string): Promise<boolean> => {
      const current = await read();
      if (!current) return false;
      const next = acquirePermit(current.list, holder, options, Date.now());
      if (!next) return false;
      const text = JSON.stringify(next);
      const written = await platform.put(PERMITS_KEY, text, current.version);
      return written.isOk();
    },

    /** Removes the holder's permit. If that fails, the permit expires. */
    release: async (holder: string): Promise<void> => {
      const current = await read();
      if (!current) return;
      const permits = current.list.permits.filter(
        permit => permit.holder !== holder,
      );
      const text = JSON.stringify({permits});
      await platform.put(PERMITS_KEY, text, current.version);
    },
  };
}
