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
  | {readonly type: 'entries'; readonly entries: readonly ConfigEntry[]}
  | {readonly type: 'instances'; readonly instances: readonly Instance[]}
  | {
      readonly type: 'complete';
      readonly req: CompletionRequest;
      readonly sink: CompletionSink;
    }
  | {
      readonly type: 'service';
      readonly req: ServiceRequest;
      readonly onGone: (listener: () => void) => void;
      readonly reply: (answer: Result<PlainServiceResponse, Failure>) => void;
    }
  | {readonly type: 'caller-gone'; readonly requestId: string}
  | {readonly type: 'drained'; readonly requestId: string}
  | {readonly type: 'tick'}
  | {readonly type: 'leave'};
