const PORT_MAX = 65_535;

/** True for a port that a connection can be made to. */
export function isPort(port: number): boolean {
  return Number.isInteger(port) && port >= 1 && port <= PORT_MAX;
}
