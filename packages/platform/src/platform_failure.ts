/**
 * Why the platform did not do what it was asked. After `lost` a write may
 * have taken effect, or may still; after all others it has not.
 */
export interface PlatformFailure {
  readonly type:
    'not-found' | 'conflict' | 'rate-limited' | 'unavailable' | 'lost';
  readonly message: string;
  /** Version that stands in the way, after a conflict. */
  readonly version?: number;
}
