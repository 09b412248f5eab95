import type {Failure} from '../errors/failure.js';

/**
 * A side effect that the group machine asks its entry to perform. Ranges are
 * in characters of the prompt: `from` is included, `to` is not.
 */
export type GroupCommand =
  | {
      readonly type: 'reserve';
      readonly agentId: string;
      /** Tokens of KV cache to reserve. */
      readonly tokens: number;
    }
  | {readonly type: 'release'; readonly agentId: string}
  | {
      readonly type: 'prefill';
      readonly agentId: string;
      readonly from: number;
      readonly to: number;
      /** Handle of the KV cache of the preceding parts. */
      readonly kvCacheHandle?: string;
    }
  | {
      readonly type: 'generate';
      readonly agentId: string;
      readonly from: number;
      readonly to: number;
      /** Handle of the KV cache of the preceding parts. */
      readonly kvCacheHandle?: string;
    }
  | {readonly type: 'fail'; readonly failure: Failure};
