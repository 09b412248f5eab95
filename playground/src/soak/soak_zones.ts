/** Names of the availability zones of a soak deployment. */
export const SOAK_ZONES = ['nord', 'werk', 'sued'] as const;
