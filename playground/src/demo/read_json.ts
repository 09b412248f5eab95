import {exchange} from '@figfall/http-client';

const TIMEOUT_MS = 5_000;

/**
 * Sends a GET request and parses the body as JSON, without checking its type.
 * Throws if the exchange fails or the body isn't JSON.
 */
export async function readJson<Value>(
  baseUrl: string,
  path: string,
): Promise<Value> {
  const response = await exchange({
    method: 'GET',
    baseUrl,
    path,
    timeoutMs: TIMEOUT_MS,
  });
  if (response.isErr()) throw new Error(response.error.message);
  return JSON.parse(response.value.body.toString()) as Value;
}
