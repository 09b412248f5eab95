/** Port of the metrics endpoint. */
const METRICS_PORT = 9_464;

/** Reads the sum of a metric's values at a gateway. */
export async function readMetric(host: string, name: string): Promise<number> {
  const res = await fetch(`http://${host}:${METRICS_PORT}/metrics`);
  const lines = (await res.text()).split('\n');
  return lines
    .filter(line => line.startsWith(`${name}{`) || line.startsWith(`${name} `))
    .map(line => Number(line.slice(line.lastIndexOf(' '))))
    .reduce((sum, value) => sum + value, 0);
}
