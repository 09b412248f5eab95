import type {DeploymentOptions} from '@figfall/playground';
import {LINDENAU} from './lindenau.js';

/** The size of the second users' deployment today. */
export const THISTLEBRAE = {
  ...LINDENAU,
  region: 'scot-central',
  zones: ['perth-a', 'perth-b', 'perth-c'],
  engines: 14,
} as const satisfies DeploymentOptions;
