import {LINDENAU} from '../load/lindenau.js';
import {THISTLEBRAE} from '../load/thistlebrae.js';

/** Deployments by the value of `--size`. */
export const DEPLOYMENT_SIZES = {
  lindenau: LINDENAU,
  thistlebrae: THISTLEBRAE,
} as const;
