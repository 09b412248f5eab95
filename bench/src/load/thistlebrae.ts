import type {DeploymentOptions} from '@figfall/playground';
import {LINDENAU} from './lindenau.js';

/** Deployment for `--size thistlebrae`, as large as the second users' own. */
export const THISTLEBRAE = {
  ...LINDENAU,
  region: 'scot-central',
  zones: ['perth-a', 'perth-b', 'perth-c'],
  engines: 14,
} as const satisfies DeploymentOptions;
