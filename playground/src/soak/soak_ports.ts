/** Ports of each gateway; every gateway has its own loopback address. */
export const SOAK_PORTS = {
  callers: 8_227,
  ready: 8_220,
  links: 7_340,
  metrics: 9_464,
};
