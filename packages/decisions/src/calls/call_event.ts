import type {Failure} from '../errors/failure.js';

/** What an entry learns about one caller's request. */
export type CallEvent =
  | {
      readonly type: 'routed';
      readonly agentId: string;
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
      /** Index of the first of the texts. */
      readonly index: number;
      readonly texts: readonly string[];
    }
  | {
      readonly type: 'done';
      readonly attemptId: string;
      /** Number of tokens in the whole answer. */
      readonly count: number;
    }
  | {
      readonly type: 'failed';
      readonly attemptId: string;
      readonly failure: Failure;
      /** True where the backend server crashed with the call on it. */
      readonly crashed: boolean;
    }
  | {readonly type: 'alive'; readonly attemptId: string}
  | {
      /** The agent never saw the attempt and will not run it. */
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
