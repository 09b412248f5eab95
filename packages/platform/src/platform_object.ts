/** One object of the platform's object API. */
export interface PlatformObject {
  readonly key: string;
  /** Versions of all objects are ordered. */
  readonly version: number;
  /** The value as JSON text. */
  readonly value: string;
}
