import {exchange} from '@figfall/http-client';

const TIMEOUT_MS = 5_000;

/** Reads a JSON value over HTTP; throws where that fails. */
export async function readJson<Value>(
  baseUrl: string,
  path: string,
): Promise<Value> {
  const answer = await exchange({
    method: 'GET',
    baseUrl,
    path,
    timeoutMs: TIMEOUT_MS,
  });
  if (answer.isErr()) throw new Error(answer.error.message);
  return JSON.parse(answer.value.body.toString()) as Value;
}
