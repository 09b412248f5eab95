import {createFailure} from '../errors/create_failure.js';
import type {Failure} from '../errors/failure.js';
import type {DoorCondition} from './door_condition.js';

/** Returns why queued calls must leave, or nothing where they may stay. */
export function evictionReason(condition: DoorCondition): Failure | undefined {
  if (condition.leaving) {
    return createFailure('leaving', 'This backend server is shutting down.');
  }
  if (!condition.declared) {
    return createFailure('not-declared', 'The backend server was undeclared.');
  }
  if (!condition.zoneIn) {
    return createFailure('zone-out', 'The availability zone was taken out.');
  }
  if (condition.serverIn) return undefined;
  return createFailure('server-out', 'The backend server was taken out.');
}
