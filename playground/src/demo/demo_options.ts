import type {DeploymentOptions} from '../deployment/deployment_options.js';

/** Options of the deployment that `figfall dev` and the demos start. */
export const DEMO_OPTIONS = {
  engines: 6,
  services: 3,
  entries: 2,
  workspaces: ['lindenau', 'thistlebrae'],
  engine: {totalTokens: 150_000, prefillRate: 200_000, decodeMs: 15},
} as const satisfies DeploymentOptions;
