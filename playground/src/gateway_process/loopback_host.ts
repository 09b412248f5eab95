let count = 0;

/**
 * Returns a loopback address that no other test process on this machine uses,
 * apart from the subnets of soak deployments.
 */
export function loopbackHost(): string {
  count += 1;
  const {pid} = process;
  return `127.${10 + (pid % 80)}.${Math.floor(pid / 80) % 250}.${count}`;
}
