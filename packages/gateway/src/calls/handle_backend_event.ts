import type {BackendEvent} from '../ports/backend_event.js';
import type {BackendEventHandlers} from './backend_event_handlers.js';

/** Calls the handler for the type of an event. */
export function handleBackendEvent(
  handlers: BackendEventHandlers,
  event: BackendEvent,
  attemptId: string,
): void {
  const handler = handlers[event.type] as (
    event: BackendEvent,
    attemptId: string,
  ) => void;
  handler(event, attemptId);
}
