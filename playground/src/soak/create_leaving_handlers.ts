import type {ActionHandlers} from './action_handlers.js';
import type {LeavingCallers} from './leaving_callers.js';
import type {SoakAction} from './soak_action.js';

interface LeavingHandlersOptions {
  readonly gatewayCount: () => number;
  readonly leavingCallers: () => LeavingCallers;
  /** Stops the process of the target for the action's duration. */
  readonly pauseGateway: (action: SoakAction) => void;
  /** Ends a fault after a time, or with all faults if that is sooner. */
  readonly hold: (durationMs: number, release: () => void) => void;
}

/** Creates the handlers of callers that leave, many at once. */
export function createLeavingHandlers({
  gatewayCount,
  leavingCallers,
  pauseGateway,
  hold,
}: LeavingHandlersOptions): ActionHandlers<
  'leaving-crowd' | 'leaving-crowd-in-pause'
> {
  const sendCrowd = ({targetIndex, durationMs}: SoakAction): void =>
    hold(durationMs, leavingCallers().send(targetIndex % gatewayCount()));

  return {
    'leaving-crowd': sendCrowd,
    'leaving-crowd-in-pause': action => {
      pauseGateway(action);
      sendCrowd(action);
    },
  };
}
