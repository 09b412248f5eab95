import {TOMBSTONE} from './tombstone.js';

/** True where the value of an object marks a deleted record. */
export function isTombstone(value: string): boolean {
  return value === TOMBSTONE;
}
