import type {Failure} from '../errors/failure.js';

/** What an entry learns about a prompt that several engines hold. */
export type GroupEvent =
  | {readonly type: 'reserved'; readonly agentId: string}
  | {
      readonly type: 'not-reserved';
      readonly agentId: string;
      readonly failure: Failure;
    }
  | {readonly type: 'segment-done'; readonly carry: string}
  | {readonly type: 'segment-failed'; readonly failure: Failure}
  | {readonly type: 'generation-ended'}
  | {readonly type: 'link-down'; readonly agentId: string}
  | {readonly type: 'caller-disconnected'}
  | {readonly type: 'tick'};
