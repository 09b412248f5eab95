import type {PlatformClient} from '@figfall/platform';
import {acquirePermit} from './acquire_permit.js';
import type {PermitList} from './permit_list.js';

const PERMITS_KEY = 'permits/weight-store';

interface WeightPermitsOptions {
  readonly platform: PlatformClient;
  readonly limit: number;
  readonly ttlMs: number;
}

/** Shares the rate of the weight store between all agents. */
export function createLoadPermits(options: WeightPermitsOptions) {
  const {platform} = options;

  const read = async (): Promise<
    {version: number; list: PermitList} | undefined
  > => {
    const got = await platform.get(PERMITS_KEY);
    if (got.isOk()) {
      const {version, value} = got.value;
      return {version, list: JSON.parse(value) as PermitList};
    }
    if (got.error.type !== 'not-found') return undefined;
    return {version: 0, list: {permits: []}};
  };

  return {
    /** True where the holder may load now; a lost answer counts as no. */
    tryAcquire: async (holder: string): Promise<boolean> => {
      const current = await read();
      if (!current) return false;
      const next = acquirePermit(current.list, holder, options, Date.now());
      if (!next) return false;
      const text = JSON.stringify(next);
      const written = await platform.put(PERMITS_KEY, text, current.version);
      return written.isOk();
    },

    /** Gives a permit back early; a failure leaves it to expire. */
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
