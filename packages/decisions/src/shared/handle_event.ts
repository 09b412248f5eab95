import type {EventHandlers} from './event_handlers.js';

/** Calls the handler for the type of an event. */
export function handleEvent<
  State,
  Event extends {readonly type: string},
  Step,
  Context extends readonly unknown[],
>(
  handlers: EventHandlers<State, Event, Step, Context>,
  state: State,
  event: Event,
  ...context: Context
): Step {
  const type = event.type as Event['type'];
  const handler = handlers[type] as (
    state: State,
    event: Event,
    ...context: Context
  ) => Step;
  return handler(state, event, ...context);
}
