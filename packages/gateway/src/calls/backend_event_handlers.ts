import type {BackendEvent} from '../ports/backend_event.js';

/** One handler for each type of event of an attempt. */
export type BackendEventHandlers = {
  readonly [Type in BackendEvent['type']]: (
    event: Extract<BackendEvent, {readonly type: Type}>,
    attemptId: string,
  ) => void;
};
