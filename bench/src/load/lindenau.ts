import type {DeploymentOptions} from '@figfall/playground';

const WORKSPACES = 10;

/** Deployment for `--size lindenau`, as large as the first users' own. */
export const LINDENAU = {
  region: 'mitte',
  zones: ['nord', 'werk', 'sued'],
  engines: 16,
  services: 3,
  entries: 3,
  workspaces: Array.from({length: WORKSPACES}, (_, i) => `station-${i + 1}`),
  running: 16,
  coldRunning: 2,
  engine: {
    prefillRate: 40_000,
    decodeMs: 20,
    batchKnee: 16,
    totalTokens: 400_000,
  },
} as const satisfies DeploymentOptions;
