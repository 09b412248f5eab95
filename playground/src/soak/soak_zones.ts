/** Availability zones of a run. */
export const SOAK_ZONES = ['nord', 'werk', 'sued'] as const;
