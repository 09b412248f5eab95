import type {Instance} from '@figfall/decisions';
import type {Result} from 'neverthrow';
import type {PlatformFailure} from './platform_failure.js';
import type {PlatformObject} from './platform_object.js';
import type {PlatformObjectList} from './platform_object_list.js';

type PlatformResponse<Value> = Promise<Result<Value, PlatformFailure>>;

/** Client of the platform's object API and instance list. */
export interface PlatformClient {
  /** Reads an object; fails with `not-found` if it does not exist. */
  readonly get: (key: string) => PlatformResponse<PlatformObject>;
  /** Lists the objects whose keys start with a prefix. */
  readonly list: (prefix: string) => PlatformResponse<PlatformObjectList>;
  /**
   * Writes an object if it has the expected version, else fails with
   * `conflict`; version 0 means that it must not exist. Returns the new
   * version.
   */
  readonly put: (
    key: string,
    value: string,
    expectedVersion: number,
  ) => PlatformResponse<number>;
  /** Removes an object if it has the expected version; else `conflict`. */
  readonly remove: (
    key: string,
    expectedVersion: number,
  ) => PlatformResponse<void>;
  /**
   * Waits for changes under a prefix after a revision, for `waitMs` milliseconds
   * at most, and returns the changed objects.
   */
  readonly watch: (
    prefix: string,
    sinceRevision: number,
    options: {readonly waitMs: number; readonly signal: AbortSignal},
  ) => PlatformResponse<PlatformObjectList>;
  /** Lists the instances of the deployment. */
  readonly instances: () => PlatformResponse<readonly Instance[]>;
}
