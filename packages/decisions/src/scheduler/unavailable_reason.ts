import {createFailure} from '../errors/create_failure.js';
import type {Failure} from '../errors/failure.js';
import type {ServerStatus} from './server_status.js';

/** Returns why queued calls must leave, or nothing where they may stay. */
export function unavailableReason(status: ServerStatus): Failure | undefined {
  if (status.leaving) {
    return createFailure('leaving', 'This backend server is shutting down.');
  }
  if (!status.declared) {
    return createFailure('not-declared', 'The backend server was undeclared.');
  }
  if (!status.zoneInService) {
    return createFailure('zone-out', 'The availability zone was taken out.');
  }
  if (status.serverInService) return undefined;
  return createFailure('server-out', 'The backend server was taken out.');
}
