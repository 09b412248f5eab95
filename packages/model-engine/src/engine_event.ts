import type {Failure} from '@figfall/decisions';

/** An event of a generation; `end` and `failed` are the last ones. */
export type EngineEvent =
  | {readonly type: 'token'; readonly index: number; readonly text: string}
  | {readonly type: 'end'; readonly count: number}
  | {
      readonly type: 'failed';
      readonly failure: Failure;
      /** True if the connection to the engine was lost. */
      readonly connectionLost: boolean;
    };
