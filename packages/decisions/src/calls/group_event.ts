import type {Failure} from '../errors/failure.js';

/** An event of a prompt split over engines, as input of the group machine. */
export type GroupEvent =
  | {readonly type: 'reserved'; readonly agentId: string}
  | {
      readonly type: 'not-reserved';
      readonly agentId: string;
      readonly failure: Failure;
    }
  | {
      readonly type: 'segment-done';
      /** Handle of the KV cache of all parts prefilled so far. */
      readonly kvCacheHandle: string;
    }
  | {readonly type: 'segment-failed'; readonly failure: Failure}
  | {readonly type: 'generation-ended'}
  | {readonly type: 'link-down'; readonly agentId: string}
  | {readonly type: 'caller-disconnected'}
  | {readonly type: 'tick'};
