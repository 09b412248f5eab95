import type {Failure} from '../errors/failure.js';

/** An event of one caller's request, as input of the call machine. */
export type CallEvent =
  | {
      readonly type: 'routed';
      readonly agentId: string;
      /** Identifies the agent's process; changes when it restarts. */
      readonly agentIncarnation: string;
      readonly attemptId: string;
    }
  | {readonly type: 'not-routed'; readonly failure: Failure}
  | {readonly type: 'accepted'; readonly attemptId: string}
  | {
      readonly type: 'refused';
      readonly attemptId: string;
      readonly failure: Failure;
    }
  | {
      readonly type: 'tokens';
      readonly attemptId: string;
      /** Token index of the first text in `texts`. */
      readonly index: number;
      readonly texts: readonly string[];
    }
  | {
      readonly type: 'done';
      readonly attemptId: string;
      /** Number of tokens in the complete response. */
      readonly count: number;
    }
  | {
      readonly type: 'failed';
      readonly attemptId: string;
      readonly failure: Failure;
      /** True if the backend server crashed while running the call. */
      readonly crashed: boolean;
    }
  | {readonly type: 'alive'; readonly attemptId: string}
  | {
      /** An attempt beside the current one has ended, and may have run. */
      readonly type: 'hedge-lost';
    }
  | {
      /** The node ends the request, since its process has to end. */
      readonly type: 'aborted';
      readonly failure: Failure;
    }
  | {
      /** The agent has no record of the attempt and will not run it. */
      readonly type: 'unseen';
      readonly attemptId: string;
      readonly agentIncarnation: string;
    }
  | {readonly type: 'link-down'; readonly agentId: string}
  | {
      readonly type: 'link-up';
      readonly agentId: string;
      readonly agentIncarnation: string;
    }
  | {readonly type: 'caller-disconnected'}
  | {readonly type: 'tick'};
