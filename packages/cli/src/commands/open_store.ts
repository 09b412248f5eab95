import {createRecordStore} from '@figfall/operator';
import {createPlatformClient} from '@figfall/platform';
import {resolveSettings} from '../settings/resolve_settings.js';
import type {Invocation} from './invocation.js';

const TIMEOUT_MS = 5_000;
const WATCH_MS = 1_000;

/** Opens the platform that the settings of an operator's command name. */
export function openStore({flags, env}: Invocation) {
  return resolveSettings(['platformUrl'], {flags, env}).map(({platformUrl}) => {
    const platform = createPlatformClient({
      baseUrl: platformUrl,
      timeoutMs: TIMEOUT_MS,
      watchMs: WATCH_MS,
    });
    return {platform, store: createRecordStore(platform)};
  });
}
