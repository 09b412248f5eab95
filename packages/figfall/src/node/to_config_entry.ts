import type {ConfigEntry} from '@figfall/decisions';
import type {PlatformObject} from '@figfall/platform';

/** Turns an object of the platform into an entry of the configuration. */
export function toConfigEntry(object: PlatformObject): ConfigEntry {
  const {key, version, value} = object;
  return {key, version, value};
}
