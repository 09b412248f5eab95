import {createRecordStore} from '@figfall/operator';
import {createPlatformClient} from '@figfall/platform';
import {resolveSettings} from '../settings/resolve_settings.js';
import type {Invocation} from './invocation.js';

const PLATFORM_TIMEOUT_MS = 5_000;

/** Creates the platform client and the record store of an operator's command. */
export function openRecordStore({flags, env}: Invocation) {
  return resolveSettings(['platformUrl'], {flags, env}).map(({platformUrl}) => {
    const platform = createPlatformClient({
      baseUrl: platformUrl,
      timeoutMs: PLATFORM_TIMEOUT_MS,
    });
    return {platform, store: createRecordStore(platform)};
  });
}
