import type {Failure} from '../errors/failure.js';

/** What an entry does for a prompt that several engines hold. */
export type GroupCommand =
  | {
      readonly type: 'reserve';
      readonly agentId: string;
      readonly tokens: number;
    }
  | {readonly type: 'release'; readonly agentId: string}
  | {
      readonly type: 'prefill';
      readonly agentId: string;
      readonly from: number;
      readonly to: number;
      readonly carry?: string;
    }
  | {
      readonly type: 'generate';
      readonly agentId: string;
      readonly from: number;
      readonly to: number;
      readonly carry?: string;
    }
  | {readonly type: 'fail'; readonly failure: Failure};
