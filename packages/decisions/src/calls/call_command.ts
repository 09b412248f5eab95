import type {Failure} from '../errors/failure.js';

/** A side effect that the call machine asks its entry or gateway to perform. */
export type CallCommand =
  | {
      /** Choose an agent; answered by `routed` or `not-routed`. */
      readonly type: 'route';
      /** Ids of the agents that must not be chosen. */
      readonly exclude: readonly string[];
      /** True if an earlier attempt may have reached a backend server. */
      readonly isRetry: boolean;
      /** True if the call must run on a backend server with no other call. */
      readonly runsAlone: boolean;
    }
  | {
      /** Send the request to an agent as a new attempt. */
      readonly type: 'open';
      readonly agentId: string;
      readonly attemptId: string;
      /** Number of tokens that the caller already has. */
      readonly resumeIndex: number;
      readonly runsAlone: boolean;
    }
  | {
      /** Ask an agent for the state of an attempt and the tokens missed. */
      readonly type: 'attach';
      readonly agentId: string;
      readonly attemptId: string;
      /** Index of the first token to send again. */
      readonly from: number;
    }
  | {
      readonly type: 'cancel';
      readonly agentId: string;
      readonly attemptId: string;
    }
  | {
      /** Pass new tokens to the caller. */
      readonly type: 'emit';
      readonly texts: readonly string[];
    }
  | {readonly type: 'complete'}
  | {readonly type: 'fail'; readonly failure: Failure}
  | {
      /** Record this request as a suspect in engine crashes. */
      readonly type: 'record-crash';
      /** Engine crashes of this request so far. */
      readonly crashes: number;
    };
