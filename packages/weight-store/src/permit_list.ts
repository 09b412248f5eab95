/** Permits to load weights, stored as one object of the platform. */
export interface PermitList {
  readonly permits: readonly {
    readonly holder: string;
    /** Unix time in milliseconds at which the permit expires. */
    readonly expiresAt: number;
  }[];
}
