import type {Instance} from '@figfall/decisions';
import {exchange} from '@figfall/http-client';
import type {HttpResponse} from '@figfall/http-client';
import {err, ok} from 'neverthrow';
import type {Result} from 'neverthrow';
import type {PlatformClient} from './platform_client.js';
import type {PlatformFailure} from './platform_failure.js';
import type {PlatformObjectList} from './platform_object_list.js';
import type {PlatformObject} from './platform_object.js';
import type {PlatformClientOptions} from './platform_client_options.js';

interface Call {
  readonly method: string;
  readonly path: string;
  readonly headers?: Readonly<Record<string, string>>;
  readonly body?: string;
  readonly timeoutMs?: number;
  readonly signal?: AbortSignal;
}

const FAILURES_BY_STATUS: Readonly<
  Record<number, PlatformFailure['type'] | undefined>
> = {
  404: 'not-found',
  412: 'conflict',
  429: 'rate-limited',
  503: 'unavailable',
};

function failureOf(response: HttpResponse): PlatformFailure {
  const type = FAILURES_BY_STATUS[response.status] ?? 'unavailable';
  const message = `The platform answered ${response.status}.`;
  if (type !== 'conflict') return {type, message};
  const {version} = JSON.parse(response.body.toString()) as {version: number};
  return {type, message, version};
}

function parse<Value>(response: HttpResponse): Result<Value, PlatformFailure> {
  if (response.status >= 300) return err(failureOf(response));
  if (response.body.length === 0) return ok(undefined as Value);
  try {
    return ok(JSON.parse(response.body.toString()) as Value);
  } catch {
    const message = 'The platform answered with something other than JSON.';
    return err({type: 'lost', message});
  }
}

function condition(expectedVersion: number): Record<string, string> {
  return expectedVersion === 0
    ? {'if-none-match': '*'}
    : {'if-match': `"${expectedVersion}"`};
}

/** Creates a client of the platform over HTTP. */
export function createPlatformClient(
  options: PlatformClientOptions,
): PlatformClient {
  const call = async <Value>(
    request: Call,
  ): Promise<Result<Value, PlatformFailure>> => {
    const answer = await exchange({
      timeoutMs: options.timeoutMs,
      baseUrl: options.baseUrl,
      ...request,
    });
    if (answer.isErr()) {
      const {type, message} = answer.error;
      return err({type: type === 'lost' ? 'lost' : 'unavailable', message});
    }
    return parse<Value>(answer.value);
  };
  const objectPath = (key: string) => `/v1/objects/${encodeURIComponent(key)}`;
  return {
    get: key => call<PlatformObject>({method: 'GET', path: objectPath(key)}),
    list: prefix =>
      call<PlatformObjectList>({
        method: 'GET',
        path: `/v1/objects?prefix=${encodeURIComponent(prefix)}`,
      }),
    put: async (key, value, expectedVersion) => {
      const written = await call<{version: number}>({
        method: 'PUT',
        path: objectPath(key),
        headers: condition(expectedVersion),
        body: value,
      });
      return written.map(({version}) => version);
    },
    remove: (key, expectedVersion) =>
      call<void>({
        method: 'DELETE',
        path: objectPath(key),
        headers: condition(expectedVersion),
      }),
    watch: (prefix, sinceRevision, signal) =>
      call<PlatformObjectList>({
        method: 'GET',
        path: `/v1/watch?prefix=${encodeURIComponent(prefix)}&since=${sinceRevision}&wait_ms=${options.watchMs}`,
        timeoutMs: options.watchMs + options.timeoutMs,
        signal,
      }),
    instances: async () => {
      const listed = await call<{instances: readonly Instance[]}>({
        method: 'GET',
        path: '/v1/instances',
      });
      return listed.map(({instances}) => instances);
    },
  };
}
