import type {CrashSuspect} from './crash_suspect.js';

/** A key under which no server was lost. */
export const UNKNOWN_SUSPECT: CrashSuspect = {
  losses: [],
  hasBegun: false,
  updatedAt: -Infinity,
  isBlocked: false,
  trials: 0,
};
