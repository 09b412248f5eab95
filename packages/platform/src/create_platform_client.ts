import type {Instance} from '@figfall/decisions';
import {exchange} from '@figfall/http-client';
import type {HttpResponse} from '@figfall/http-client';
import {err, ok} from 'neverthrow';
import type {Result} from 'neverthrow';
import type {PlatformClient} from './platform_client.js';
import type {PlatformClientOptions} from './platform_client_options.js';
import type {PlatformFailure} from './platform_failure.js';
import type {PlatformObject} from './platform_object.js';
import type {PlatformObjectList} from './platform_object_list.js';

interface PlatformRequest {
  readonly method: string;
  readonly path: string;
  readonly headers?: Readonly<Record<string, string>>;
  readonly body?: string;
  readonly timeoutMs?: number;
  readonly signal?: AbortSignal;
}

const FAILURE_TYPES: Readonly<
  Record<number, PlatformFailure['type'] | undefined>
> = {
  404: 'not-found',
  412: 'conflict',
  429: 'rate-limited',
  503: 'unavailable',
};

function toFailure(response: HttpResponse): PlatformFailure {
  const type = FAILURE_TYPES[response.status] ?? 'unavailable';
  const message = `The platform responded with status ${response.status}.`;
  if (type !== 'conflict') return {type, message};
  return parseJson<{version: number}>(response).match(
    ({version}) => ({type, message, version}),
    failure => failure,
  );
}

function parseJson<Value>(
  response: HttpResponse,
): Result<Value, PlatformFailure> {
  try {
    return ok(JSON.parse(response.body.toString()) as Value);
  } catch {
    const message = 'The platform response is not valid JSON.';
    return err({type: 'lost', message});
  }
}

function parseResponse<Value>(
  response: HttpResponse,
): Result<Value, PlatformFailure> {
  if (response.status >= 300) return err(toFailure(response));
  if (response.body.length === 0) return ok(undefined as Value);
  return parseJson<Value>(response);
}

function versionCondition(expectedVersion: number): Record<string, string> {
  return expectedVersion === 0
    ? {'if-none-match': '*'}
    : {'if-match': `"${expectedVersion}"`};
}

/** Creates a client of the platform's HTTP API. */
export function createPlatformClient(
  options: PlatformClientOptions,
): PlatformClient {
  const send = async <Value>(
    request: PlatformRequest,
  ): Promise<Result<Value, PlatformFailure>> => {
    const response = await exchange({
      timeoutMs: options.timeoutMs,
      baseUrl: options.baseUrl,
      ...request,
    });
    if (response.isErr()) {
      const {type, message} = response.error;
      return err({type: type === 'lost' ? 'lost' : 'unavailable', message});
    }
    return parseResponse<Value>(response.value);
  };
  const objectPath = (key: string) => `/v1/objects/${encodeURIComponent(key)}`;
  return {
    get: key => send<PlatformObject>({method: 'GET', path: objectPath(key)}),
    list: prefix =>
      send<PlatformObjectList>({
        method: 'GET',
        path: `/v1/objects?prefix=${encodeURIComponent(prefix)}`,
      }),
    put: async (key, value, expectedVersion) => {
      const written = await send<{version: number}>({
        method: 'PUT',
        path: objectPath(key),
        headers: versionCondition(expectedVersion),
        body: value,
      });
      return written.map(({version}) => version);
    },
    remove: (key, expectedVersion) =>
      send<void>({
        method: 'DELETE',
        path: objectPath(key),
        headers: versionCondition(expectedVersion),
      }),
    watch: (prefix, sinceRevision, {waitMs, signal}) =>
      send<PlatformObjectList>({
        method: 'GET',
        path: `/v1/watch?prefix=${encodeURIComponent(prefix)}&since=${sinceRevision}&wait_ms=${waitMs}`,
        timeoutMs: waitMs + options.timeoutMs,
        signal,
      }),
    instances: async () => {
      const listed = await send<{instances: readonly Instance[]}>({
        method: 'GET',
        path: '/v1/instances',
      });
      return listed.map(({instances}) => instances);
    },
  };
}
