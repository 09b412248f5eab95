import {createRecordStore} from '@figfall/operator';
import {createPlatformClient} from '@figfall/platform';
import type {PlatformClient} from '@figfall/platform';
import {resolveSettings} from '../settings/resolve_settings.js';
import type {Command} from './command.js';
import type {Invocation} from './invocation.js';
import {printSettingErrors} from './print_setting_errors.js';

const PLATFORM_TIMEOUT_MS = 5_000;

/** An operator's command invocation with access to the platform. */
interface RecordStoreInvocation extends Invocation {
  readonly platform: PlatformClient;
  readonly recordStore: ReturnType<typeof createRecordStore>;
}

/**
 * Creates the `run` of a command that works with the operators' records. If the
 * settings are not valid, it prints why and `run` is not called.
 */
export function runWithRecordStore(
  run: (invocation: RecordStoreInvocation) => Promise<number>,
): Command['run'] {
  return async invocation => {
    const {flags, env, output} = invocation;
    const settings = resolveSettings(['platformUrl'], {flags, env});
    if (settings.isErr()) return printSettingErrors(settings.error, output);
    const platform = createPlatformClient({
      baseUrl: settings.value.platformUrl,
      timeoutMs: PLATFORM_TIMEOUT_MS,
    });
    return run({
      ...invocation,
      platform,
      recordStore: createRecordStore(platform),
    });
  };
}
