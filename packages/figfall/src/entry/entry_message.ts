import type {
  CompletionRequest,
  CompletionSink,
  ServiceRequest,
} from '@figfall/caller';
import type {ConfigEntry, Failure, Instance} from '@figfall/decisions';
import type {LinkEvent, PlainServiceResponse} from '@figfall/node-link';
import type {Result} from 'neverthrow';

/** Messages to the task of an entry. */
export type EntryMessage =
  | {readonly type: 'link'; readonly event: LinkEvent}
  | {
      /** Records read from the platform. */
      readonly type: 'entries';
      readonly entries: readonly ConfigEntry[];
    }
  | {
      /** The platform's whole list of instances, after a change. */
      readonly type: 'instances';
      readonly instances: readonly Instance[];
    }
  | {
      readonly type: 'complete';
      readonly req: CompletionRequest;
      readonly sink: CompletionSink;
    }
  | {
      readonly type: 'service';
      readonly req: ServiceRequest;
      /** Calls the listener if the caller disconnects before the reply. */
      readonly onDisconnect: (listener: () => void) => void;
      readonly reply: (answer: Result<PlainServiceResponse, Failure>) => void;
    }
  | {readonly type: 'caller-disconnected'; readonly requestId: string}
  | {
      /** The caller of a stream is ready for more tokens. */
      readonly type: 'caller-drained';
      readonly requestId: string;
    }
  | {readonly type: 'tick'}
  | {
      /** Stop taking new requests. */
      readonly type: 'start-shutdown';
    };
