import type {DeploymentOptions} from './deployment_options.js';
import type {ResolvedDeploymentOptions} from './resolved_deployment_options.js';

/** Fills in the default options of a deployment. */
export function resolveDeploymentOptions(
  options: DeploymentOptions,
): ResolvedDeploymentOptions {
  return {
    region: 'mitte',
    zones: ['nord', 'werk', 'sued'],
    engines: 3,
    services: 3,
    entries: 2,
    workspaces: ['lindenau'],
    engine: {},
    weights: 'weights/log-summary/1',
    platform: {},
    running: 16,
    coldRunning: 2,
    serviceDelayMs: 0,
    policy: 'figfall',
    linksPerTarget: 16,
    logLevel: 'silent',
    traceExporter: 'none',
    relays: false,
    httpPort: 0,
    ...options,
  };
}
