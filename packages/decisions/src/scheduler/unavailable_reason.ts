import {createFailure} from '../errors/create_failure.js';
import type {Failure} from '../errors/failure.js';
import type {ServerStatus} from './server_status.js';

/** Returns why a backend server takes no calls, or undefined if it does. */
export function unavailableReason(status: ServerStatus): Failure | undefined {
  if (status.leaving) {
    return createFailure('leaving', 'This backend server is shutting down.');
  }
  if (!status.declared) {
    return createFailure(
      'not-declared',
      'No record declares this backend server.',
    );
  }
  if (!status.zoneInService) {
    return createFailure(
      'zone-out',
      'The availability zone was taken out of service.',
    );
  }
  if (status.serverInService) return undefined;
  return createFailure(
    'server-out',
    'The backend server was taken out of service.',
  );
}
