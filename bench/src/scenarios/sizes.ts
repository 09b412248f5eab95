import {LINDENAU} from '../load/lindenau.js';
import {THISTLEBRAE} from '../load/thistlebrae.js';

/** Deployment sizes by name. */
export const SIZES = {lindenau: LINDENAU, thistlebrae: THISTLEBRAE} as const;
