import type {ConfigEntry} from '@figfall/decisions';
import type {PlatformObject} from '@figfall/platform';

/** Converts a platform object to a configuration entry. */
export function toConfigEntry(object: PlatformObject): ConfigEntry {
  const {key, version, value} = object;
  return {key, version, value};
}
