/**
 * Failure of a platform call. After `lost`, a write may have taken effect or
 * may still do so. After any other type it has not.
 */
export interface PlatformFailure {
  readonly type:
    'not-found' | 'conflict' | 'rate-limited' | 'unavailable' | 'lost';
  readonly message: string;
  /** Current version of the object, after a conflict. */
  readonly version?: number;
}
