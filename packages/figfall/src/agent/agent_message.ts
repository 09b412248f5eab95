import type {
  ClaimOutcome,
  ConfigEntry,
  Failure,
  Instance,
} from '@figfall/decisions';
import type {EngineEvent, EngineLoad} from '@figfall/model-engine';
import type {LinkEvent, PlainServiceResponse} from '@figfall/node-link';

/** A message to the task of an agent. */
export type AgentMessage =
  | {readonly type: 'link'; readonly event: LinkEvent}
  | {readonly type: 'entries'; readonly entries: readonly ConfigEntry[]}
  | {readonly type: 'instances'; readonly instances: readonly Instance[]}
  | {
      /** Load of the backend server; undefined if it did not respond. */
      readonly type: 'load';
      readonly load?: EngineLoad;
    }
  | {
      readonly type: 'engine';
      readonly callId: string;
      readonly event: EngineEvent;
    }
  | {
      /** The call failed on the backend server or on the way to it. */
      readonly type: 'failed';
      readonly callId: string;
      readonly failure: Failure;
      /** True if the backend server crashed. */
      readonly crashed: boolean;
    }
  | {
      readonly type: 'segment-done';
      readonly callId: string;
      readonly kvCacheHandle: string;
    }
  | {
      readonly type: 'service-done';
      readonly callId: string;
      readonly response: PlainServiceResponse;
    }
  | {
      /** The idempotency key was not claimed, so the call was not run. */
      readonly type: 'claim-refused';
      readonly callId: string;
      readonly failure: Failure;
      readonly askAgent?: string;
    }
  | {
      /** An earlier attempt with the same idempotency key has an outcome. */
      readonly type: 'replayed-outcome';
      readonly callId: string;
      readonly outcome: ClaimOutcome;
    }
  | {readonly type: 'tick'}
  /** Stop accepting calls, in order to shut down. */
  | {readonly type: 'leave'};
