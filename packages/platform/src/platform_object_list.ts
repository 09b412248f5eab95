import type {PlatformObject} from './platform_object.js';

/** Objects under a prefix, and the revision that the list covers. */
export interface PlatformObjectList {
  readonly revision: number;
  readonly objects: readonly PlatformObject[];
}
