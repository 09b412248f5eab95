import type {
  ClaimOutcome,
  ConfigEntry,
  Failure,
  Instance,
} from '@figfall/decisions';
import type {EngineEvent, EngineLoad} from '@figfall/model-engine';
import type {LinkEvent, PlainServiceResponse} from '@figfall/node-link';

/** Messages to the task of an agent. */
export type AgentMessage =
  | {readonly type: 'link'; readonly event: LinkEvent}
  | {readonly type: 'entries'; readonly entries: readonly ConfigEntry[]}
  | {readonly type: 'instances'; readonly instances: readonly Instance[]}
  | {
      /** Load of the backend server; undefined where it did not answer. */
      readonly type: 'load';
      readonly load?: EngineLoad;
    }
  | {
      readonly type: 'engine';
      readonly callId: string;
      readonly event: EngineEvent;
    }
  | {
      readonly type: 'lost';
      readonly callId: string;
      readonly failure: Failure;
      /** True where the backend server crashed. */
      readonly crashed: boolean;
    }
  | {
      readonly type: 'segment-done';
      readonly callId: string;
      readonly carry: string;
    }
  | {
      readonly type: 'service-done';
      readonly callId: string;
      readonly response: PlainServiceResponse;
    }
  | {
      /** The claim of a call was settled without running it. */
      readonly type: 'not-claimed';
      readonly callId: string;
      readonly failure: Failure;
      readonly askAgent?: string;
    }
  | {
      /** A resend gets the outcome of the attempt that ran. */
      readonly type: 'known-outcome';
      readonly callId: string;
      readonly outcome: ClaimOutcome;
    }
  | {readonly type: 'tick'}
  | {readonly type: 'leave'};
