import type {PlatformObject} from './platform_object.js';

/** Objects under a prefix, as of a revision. */
export interface PlatformObjectList {
  readonly revision: number;
  readonly objects: readonly PlatformObject[];
}
