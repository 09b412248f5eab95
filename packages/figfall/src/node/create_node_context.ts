import {randomUUID} from 'node:crypto';
import {createPlatformClient} from '@figfall/platform';
import {createLogger} from '@figfall/observability';
import {createMetrics} from '@figfall/observability';
import {createTracing} from '@figfall/observability';
import {countPlatformCalls} from './count_platform_calls.js';
import {loadHash} from './load_hash.js';
import type {NodeContext} from './node_context.js';
import type {NodeSettings} from './node_settings.js';
import {PLATFORM_TIMEOUT_MS} from './platform_timeout_ms.js';

/** Creates the context of a node; `incarnation` is new for each process. */
export async function createNodeContext(
  settings: NodeSettings,
  role: 'entry' | 'agent',
): Promise<NodeContext> {
  const identity = {id: settings.id, incarnation: randomUUID(), role};
  const metrics = createMetrics(settings.id, role);
  const platform = createPlatformClient({
    baseUrl: settings.platformUrl,
    timeoutMs: PLATFORM_TIMEOUT_MS,
  });
  return {
    settings,
    identity,
    metrics,
    hash: await loadHash(),
    random: Math.random,
    platform: countPlatformCalls(platform, metrics),
    logger: createLogger({
      nodeId: settings.id,
      scope: role,
      level: settings.logLevel,
    }),
    tracing: await createTracing({
      nodeId: settings.id,
      exporter: settings.traceExporter,
      otlpUrl: settings.otlpUrl,
    }),
    linkOptions: {
      node: identity,
      key: settings.linkKey,
      tls: settings.linkTls,
    },
  };
}
