import type {PlatformClient} from '@figfall/platform';
import type {Result} from 'neverthrow';
import type {Metrics} from '@figfall/observability';

type PlatformResponse = Promise<Result<unknown, {readonly type: string}>>;

/** Wraps a platform client to count its calls by method and result. */
export function countPlatformCalls(
  platform: PlatformClient,
  metrics: Metrics,
): PlatformClient {
  const counted = <Args extends unknown[], Value extends PlatformResponse>(
    method: string,
    call: (...args: Args) => Value,
  ) =>
    ((...args: Args) => {
      const response = call(...args);
      void response.then(result => {
        const label = result.isOk() ? 'ok' : result.error.type;
        metrics.platformCalls.inc({method, result: label});
      });
      return response;
    }) as (...args: Args) => Value;
  return {
    get: counted('get', platform.get),
    list: counted('list', platform.list),
    put: counted('put', platform.put),
    remove: counted('remove', platform.remove),
    watch: counted('watch', platform.watch),
    instances: counted('instances', platform.instances),
  };
}
