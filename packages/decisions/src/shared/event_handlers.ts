/** A handler for each event type of a state machine. */
export type EventHandlers<
  State,
  Event extends {readonly type: string},
  Step,
  Context extends readonly unknown[],
> = {
  readonly [Type in Event['type']]: (
    state: State,
    event: Extract<Event, {readonly type: Type}>,
    ...context: Context
  ) => Step;
};
