import {ERROR_DEFINITIONS, NOT_EXECUTED_STATUSES} from '@figfall/decisions';
import type {Failure} from '@figfall/decisions';

/** Status for a request that has not run, if its failure has no better one. */
const DEFAULT_NOT_EXECUTED_STATUS = 503;

/** Status for a request that may have run, if its failure has no better one. */
const MAYBE_EXECUTED_STATUS = 502;

/** Statuses after which callers do not retry the request. */
const NO_RETRY_STATUSES: readonly number[] = [400, 401, 404, 413, 431];

/**
 * HTTP status with which callers get a failure. A status that guarantees that
 * the request has not run stands only for one that certainly has not.
 */
export function failureStatus({kind, ran}: Failure): number {
  const {status} = ERROR_DEFINITIONS[kind];
  const isNotExecuted = NOT_EXECUTED_STATUSES.includes(status);
  if (ran === 'no') {
    const isAllowed = isNotExecuted || NO_RETRY_STATUSES.includes(status);
    return isAllowed ? status : DEFAULT_NOT_EXECUTED_STATUS;
  }
  return isNotExecuted ? MAYBE_EXECUTED_STATUS : status;
}
