/** Permits to load weights, as one object of the platform. */
export interface PermitList {
  readonly permits: readonly {
    readonly holder: string;
    /** Wall-clock time in milliseconds at which the permit ends. */
    readonly expiresAt: number;
  }[];
}
