import type {BackendEvent} from '../ports/backend_event.js';
import {isErrorStatus} from './is_error_status.js';

/**
 * True if an attempt's event brings the caller closer to a whole response. A
 * plain response can't continue a stream that has begun.
 */
export function isAnswer(event: BackendEvent, hasBegun: boolean): boolean {
  const {type} = event;
  return type === 'response'
    ? !hasBegun && !isErrorStatus(event.head.status)
    : type === 'events' || type === 'end';
}
