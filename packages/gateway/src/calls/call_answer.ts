import type {Failure} from '@figfall/decisions';
import type {ResponseHead} from '../ports/response_head.js';
import type {ResponseSink} from '../ports/response_sink.js';
import type {CallOutcome} from './call_outcome.js';
import {StreamTimes} from './stream_times.js';

type AnswerOutcome = Pick<
  CallOutcome,
  'result' | 'failure' | 'status' | 'firstEventMs' | 'longestPauseMs'
>;

/** The one answer that a caller gets, whatever attempts it is made of. */
export class CallAnswer {
  private readonly times = new StreamTimes();
  /** Event id that index 0 stands for. */
  private firstId?: number;
  private streamHead?: ResponseHead;
  private hasBegun = false;
  /** Whole answer of the last attempt that made one. */
  private whole?: {readonly head: ResponseHead; readonly body: Buffer};
  private result: CallOutcome['result'] = 'gone';
  private failure?: Failure;

  constructor(
    private readonly sink: ResponseSink,
    private readonly callerHas: number | undefined,
    private readonly now: () => number,
  ) {
    this.firstId = callerHas === undefined ? undefined : callerHas + 1;
  }

  /** Last event that the caller has, given how many were passed on. */
  lastEventId(count: number): number | undefined {
    return count > 0 ? (this.firstId ?? 0) + count - 1 : this.callerHas;
  }

  /** Index of an event; the first event of the answer has index 0. */
  indexOf(eventId: number): number {
    this.firstId ??= eventId;
    return eventId - this.firstId;
  }

  /** Keeps the head of a stream; the first one is the answer's. */
  head(head: ResponseHead): void {
    if (!this.hasBegun) this.streamHead = head;
  }

  /** Keeps a whole answer; false where a stream has begun. */
  keep(head: ResponseHead, body: Buffer): boolean {
    if (this.hasBegun) return false;
    this.whole = {head, body};
    return true;
  }

  /** Passes events on; false where the caller reads slower than they come. */
  events(texts: readonly string[]): boolean {
    this.times.note(this.now());
    this.begin();
    return this.sink.writeEvents(texts);
  }

  complete(): void {
    this.result = 'answered';
    if (this.whole)
      return this.sink.sendResponse(this.whole.head, this.whole.body);
    this.begin();
    this.sink.endStream();
  }

  /** Passes on a backend server's own failing answer, or else a failure. */
  fail(failure: Failure): void {
    if (this.whole && failure.kind === 'backend-error') {
      this.result = 'answered';
      return this.sink.sendResponse(this.whole.head, this.whole.body);
    }
    this.result = 'failed';
    this.failure = failure;
    this.sink.fail(failure);
  }

  outcome(arrivedAt: number): AnswerOutcome {
    const firstEventAt = this.times.firstEventAt();
    return {
      result: this.result,
      failure: this.failure,
      status: (this.whole?.head ?? this.streamHead)?.status,
      firstEventMs:
        firstEventAt === undefined ? undefined : firstEventAt - arrivedAt,
      longestPauseMs: this.times.longestPauseMs(),
    };
  }

  private begin(): void {
    if (this.hasBegun || !this.streamHead) return;
    this.hasBegun = true;
    this.whole = undefined;
    this.sink.startStream(this.streamHead);
  }
}
