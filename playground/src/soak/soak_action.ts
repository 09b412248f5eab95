import type {BackendFault, StoreFault} from '@figfall/gateway-server/testing';
import type {SOAK_PORTS} from './soak_ports.js';

/** A fault or an operation that is applied to a deployment under load. */
export type SoakAction = {
  /** Milliseconds from the start of the load. */
  readonly startMs: number;
  /** Index of the gateway, backend server or zone, modulo their number. */
  readonly targetIndex: number;
  /** Milliseconds that the action lasts; unused by instantaneous ones. */
  readonly durationMs: number;
} & (
  | {
      readonly type:
        | 'gateway-kill'
        | 'gateway-stop'
        | 'gateway-pause'
        | 'gateway-reload'
        | 'store-compact'
        | 'store-disconnect'
        | 'store-drop-responses'
        | 'store-delay'
        | 'store-restore'
        | 'server-crash'
        | 'server-drain'
        | 'server-leave'
        | 'server-pause'
        | 'server-silence'
        | 'server-reset-connections'
        | 'server-hang-connections'
        | 'server-disconnect'
        | 'server-drop-responses'
        | 'server-unstated-refusals'
        | 'zone-evacuate'
        | 'config-change'
        | 'prompt-crash'
        | 'log-reader-loss'
        | 'log-reader-stall'
        | 'reload-at-start'
        | 'reload-series'
        | 'unfinished-bodies'
        | 'unread-responses'
        | 'leaving-crowd'
        | 'leaving-crowd-in-pause'
        | 'unasked-end';
    }
  | {
      readonly type: 'port-taken';
      readonly port: keyof typeof SOAK_PORTS;
    }
  | {
      readonly type: 'settings-in-steps';
      /** What the gateway does while its file isn't whole. */
      readonly at: 'restart' | 'reload';
      /** Share of the file that is there at first. */
      readonly firstShare: number;
    }
  | {readonly type: 'store-fault'; readonly fault: StoreFault}
  | {readonly type: 'server-fault'; readonly fault: BackendFault}
  | {
      readonly type: 'server-limit';
      /** Requests a second that the server takes from all gateways. */
      readonly perSecond: number;
    }
);
