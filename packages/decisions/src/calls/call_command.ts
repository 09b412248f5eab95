import type {Failure} from '../errors/failure.js';

/** What an entry does for one caller's request. */
export type CallCommand =
  | {
      readonly type: 'route';
      readonly exclude: readonly string[];
      /** True where an attempt has already reached a backend server. */
      readonly isRetry: boolean;
      /** True where the call must run with no other beside it. */
      readonly alone: boolean;
    }
  | {
      readonly type: 'open';
      readonly agentId: string;
      readonly attemptId: string;
      /** Tokens that the caller already has. */
      readonly resumeIndex: number;
      readonly alone: boolean;
    }
  | {
      readonly type: 'attach';
      readonly agentId: string;
      readonly attemptId: string;
      readonly from: number;
    }
  | {
      readonly type: 'cancel';
      readonly agentId: string;
      readonly attemptId: string;
    }
  | {readonly type: 'emit'; readonly texts: readonly string[]}
  | {readonly type: 'complete'}
  | {readonly type: 'fail'; readonly failure: Failure}
  | {readonly type: 'record-crash'; readonly crashes: number};
