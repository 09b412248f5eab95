/** Object in the platform's object API. */
export interface PlatformObject {
  readonly key: string;
  /** Comparable with the versions of other objects. */
  readonly version: number;
  /** JSON text. */
  readonly value: string;
}
