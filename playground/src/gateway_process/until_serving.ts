import {sleep} from '../http/sleep.js';
import {readAtGateway} from './read_at_gateway.js';

const INTERVAL_MS = 50;

/** Resolves to true once a gateway serves, to false if `hasEnded` does first. */
export async function untilServing(
  host: string,
  hasEnded: () => unknown,
): Promise<boolean> {
  if ((await readAtGateway(host)) === 200) return true;
  if (hasEnded()) return false;
  await sleep(INTERVAL_MS);
  return untilServing(host, hasEnded);
}
