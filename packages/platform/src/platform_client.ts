import type {Instance} from '@figfall/decisions';
import type {Result} from 'neverthrow';
import type {PlatformFailure} from './platform_failure.js';
import type {PlatformObjectList} from './platform_object_list.js';
import type {PlatformObject} from './platform_object.js';

type Answer<Value> = Promise<Result<Value, PlatformFailure>>;

/** The platform's object API and its list of instances. */
export interface PlatformClient {
  readonly get: (key: string) => Answer<PlatformObject>;
  readonly list: (prefix: string) => Answer<PlatformObjectList>;
  /**
   * Writes an object if it has the expected version; 0 means that it must
   * not exist. Returns the new version.
   */
  readonly put: (
    key: string,
    value: string,
    expectedVersion: number,
  ) => Answer<number>;
  readonly remove: (key: string, expectedVersion: number) => Answer<void>;
  /** Waits for changes under a prefix after a revision. */
  readonly watch: (
    prefix: string,
    sinceRevision: number,
    signal: AbortSignal,
  ) => Answer<PlatformObjectList>;
  readonly instances: () => Answer<readonly Instance[]>;
}
