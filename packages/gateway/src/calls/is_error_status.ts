import {NOT_EXECUTED_STATUSES} from '@figfall/decisions';
import {GATEWAY} from '../constants.js';

/** True if a backend server's response with this status is no answer. */
export function isErrorStatus(status: number): boolean {
  return (
    status >= GATEWAY.ERROR_STATUS || NOT_EXECUTED_STATUSES.includes(status)
  );
}
