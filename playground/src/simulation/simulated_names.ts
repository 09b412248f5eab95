/** Names in the configuration of a simulated deployment. */
export const SIMULATED_NAMES = {service: 'pool', host: 'simulated'} as const;
