import type {BackendFault, StoreFault} from '@figfall/gateway-server/testing';

/** Something that happens to a deployment while it serves. */
export type SoakAction = {
  /** Milliseconds from the start of the load. */
  readonly at: number;
  /** Index of the gateway or backend server that is meant. */
  readonly target: number;
  /** Milliseconds for which it lasts. */
  readonly forMs: number;
} & (
  | {
      readonly type:
        | 'gateway-kill'
        | 'gateway-stop'
        | 'gateway-pause'
        | 'gateway-reload'
        | 'store-compact'
        | 'store-cut'
        | 'store-mute'
        | 'store-delay'
        | 'server-crash'
        | 'server-leave'
        | 'server-reset'
        | 'server-silence'
        | 'server-cut'
        | 'server-mute'
        | 'zone-out'
        | 'config-change';
    }
  | {readonly type: 'store-fault'; readonly fault: StoreFault}
  | {readonly type: 'server-fault'; readonly fault: BackendFault}
);
