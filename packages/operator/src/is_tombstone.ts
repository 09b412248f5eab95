import {TOMBSTONE} from './tombstone.js';

/** Returns true if the object value marks a deleted record. */
export function isTombstone(value: string): boolean {
  return value === TOMBSTONE;
}
