import {err, ok} from 'neverthrow';
import type {Result} from 'neverthrow';
import type {Setting} from './setting.js';
import type {SettingName} from './setting_name.js';
import {SETTINGS} from './setting_table.js';

type ValueOf<Name extends SettingName> =
  (typeof SETTINGS)[Name] extends Setting<infer Value> ? Value : never;

/** Values by setting name; optional settings may be undefined. */
type ResolvedSettings<Name extends SettingName> = {
  readonly [Key in Name]: ValueOf<Key>;
};

/** Where settings come from; flags take precedence. */
interface SettingSources {
  readonly flags: Readonly<Record<string, unknown>>;
  readonly env: Readonly<Record<string, string | undefined>>;
}

function resolveOne(
  name: SettingName,
  {flags, env}: SettingSources,
): Result<unknown, string> {
  const setting = SETTINGS[name] as Setting<unknown>;
  const flag = flags[setting.flag];
  const text =
    typeof flag === 'string' ? flag : (env[setting.env] ?? setting.defaultText);
  if (text === undefined && setting.optional) return ok(undefined);
  if (text === undefined) {
    return err(
      `${setting.help} is missing: set --${setting.flag} or ${setting.env}`,
    );
  }
  const source = typeof flag === 'string' ? `--${setting.flag}` : setting.env;
  return setting
    .parse(text)
    .mapErr(allowed => `${source} is "${text}"; it ${allowed}`);
}

/** Resolves settings; on failure, returns the errors of all of them. */
export function resolveSettings<Name extends SettingName>(
  names: readonly Name[],
  sources: SettingSources,
): Result<ResolvedSettings<Name>, readonly string[]> {
  const results = names.map(name => ({
    name,
    result: resolveOne(name, sources),
  }));
  const errors = results.flatMap(({result}) =>
    result.isErr() ? [result.error] : [],
  );
  if (errors.length > 0) return err(errors);
  const values = results.map(({name, result}) => [
    name,
    result.unwrapOr(undefined),
  ]);
  return ok(Object.fromEntries(values) as ResolvedSettings<Name>);
}
