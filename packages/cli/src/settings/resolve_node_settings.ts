import type {NodeSettings} from 'figfall';
import {err, ok} from 'neverthrow';
import type {Result} from 'neverthrow';
import type {Invocation} from '../commands/invocation.js';
import {checkRuntime} from './check_runtime.js';
import {NODE_SETTING_NAMES} from './node_setting_names.js';
import {resolveSettings} from './resolve_settings.js';
import type {SettingName} from './setting_name.js';

const TLS_INCOMPLETE =
  'links over TLS need --link-tls-key, --link-tls-cert and --link-tls-ca';

const OTLP_URL_MISSING = 'the trace exporter otlp needs --otlp-url';

/**
 * Resolves the settings of an entry or agent: the shared ones and those of its
 * role. Also checks settings that depend on each other, and the environment.
 */
export function resolveNodeSettings<Name extends SettingName>(
  roleSettings: readonly Name[],
  {flags, env}: Invocation,
) {
  const names = [...NODE_SETTING_NAMES, ...roleSettings];
  const resolved = resolveSettings(names, {flags, env});
  const settings = resolved.isOk() ? resolved.value : undefined;
  const {
    linkTlsKey: key,
    linkTlsCert: cert,
    linkTlsCa: ca,
  } = settings ?? ({} as Record<string, undefined>);
  const tlsSettingCount = [key, cert, ca].filter(Boolean).length;
  const lacksOtlpUrl = settings?.traceExporter === 'otlp' && !settings.otlpUrl;
  const errors = [
    ...(resolved.isErr() ? resolved.error : []),
    ...checkRuntime(env),
    ...(tlsSettingCount % 3 === 0 ? [] : [TLS_INCOMPLETE]),
    ...(lacksOtlpUrl ? [OTLP_URL_MISSING] : []),
  ];
  type Settings = NonNullable<typeof settings> & Pick<NodeSettings, 'linkTls'>;
  if (!settings || errors.length > 0) {
    return err(errors) as Result<Settings, readonly string[]>;
  }
  const linkTls = key && cert && ca ? {key, cert, ca} : undefined;
  return ok({...settings, linkTls}) as Result<Settings, readonly string[]>;
}
