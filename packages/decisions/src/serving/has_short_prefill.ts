import type {WorkItem} from './work_item.js';

/** Longest prefill of a short prompt, in milliseconds. */
const SHORT_PREFILL_MAX_MS = 160;

/** True for the work of a short prompt, or for a short part of a long one. */
export function hasShortPrefill({prefillMs}: WorkItem): boolean {
  return prefillMs <= SHORT_PREFILL_MAX_MS;
}
