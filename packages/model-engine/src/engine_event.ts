import type {Failure} from '@figfall/decisions';

/** What comes of one generation. */
export type EngineEvent =
  | {readonly type: 'token'; readonly index: number; readonly text: string}
  | {readonly type: 'end'; readonly count: number}
  | {
      readonly type: 'failed';
      readonly failure: Failure;
      /** True where the connection to the engine broke. */
      readonly connectionLost: boolean;
    };
