import {sleep} from '../http/sleep.js';
import type {startGatewayProcess} from './start_gateway_process.js';

type StartedGateway = ReturnType<typeof startGatewayProcess>;

const INTERVAL_MS = 20;

/** Far longer than any line takes, so that a test fails and does not hang. */
const LIMIT_MS = 60_000;

/**
 * Resolves to true once a gateway has logged a line with this message and these
 * words, to false if it ends before or never does.
 */
export async function untilLogged(
  gateway: Pick<StartedGateway, 'output' | 'hasEnded'>,
  message: string,
  words = '',
  limitMs = LIMIT_MS,
): Promise<boolean> {
  const isLogged = gateway
    .output()
    .split('\n')
    .some(line => line.includes(`"${message}"`) && line.includes(words));
  if (isLogged) return true;
  if (gateway.hasEnded() || limitMs <= 0) return false;
  await sleep(INTERVAL_MS);
  return untilLogged(gateway, message, words, limitMs - INTERVAL_MS);
}
