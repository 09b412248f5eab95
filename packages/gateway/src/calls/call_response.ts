import type {Failure} from '@figfall/decisions';
import type {ResponseHead} from '../ports/response_head.js';
import type {ResponseSink} from '../ports/response_sink.js';
import type {CallOutcome} from './call_outcome.js';
import {failureStatus} from './failure_status.js';
import {StreamTiming} from './stream_timing.js';

type ResponseOutcome = Pick<
  CallOutcome,
  'result' | 'failure' | 'status' | 'firstEventMs' | 'longestPauseMs'
>;

/** The single response to a caller, assembled from one or more attempts. */
export class CallResponse {
  private readonly timing = new StreamTiming();
  /** Event id that corresponds to index 0. */
  private baseEventId?: number;
  private streamHead?: ResponseHead;
  private hasStreamStarted = false;
  /** Complete response of the last attempt that returned one. */
  private buffered?: {readonly head: ResponseHead; readonly body: Buffer};
  private result: CallOutcome['result'] = 'gone';
  private failure?: Failure;

  constructor(
    private readonly sink: ResponseSink,
    private readonly callerLastEventId: number | undefined,
    private readonly now: () => number,
  ) {
    this.baseEventId =
      callerLastEventId === undefined ? undefined : callerLastEventId + 1;
  }

  /** Id of the last event the caller has, after `count` were passed on. */
  lastEventId(count: number): number | undefined {
    return count > 0
      ? (this.baseEventId ?? 0) + count - 1
      : this.callerLastEventId;
  }

  /** Time in ms of the last event that was passed on, if there was one. */
  lastEventAt(): number | undefined {
    return this.timing.lastEventAt();
  }

  /** Index of an event; the first event of the response has index 0. */
  indexOf(eventId: number): number {
    this.baseEventId ??= eventId;
    return eventId - this.baseEventId;
  }

  /** Sets the head of a stream; ignored once the stream has started. */
  setStreamHead(head: ResponseHead): void {
    if (!this.hasStreamStarted) this.streamHead = head;
  }

  /** Buffers a complete response; false if a stream has started. */
  buffer(head: ResponseHead, body: Buffer): boolean {
    if (this.hasStreamStarted) return false;
    this.buffered = {head, body};
    return true;
  }

  /** Passes events on; false if the caller's connection is congested. */
  writeEvents(texts: readonly string[]): boolean {
    this.timing.record(this.now());
    this.startStream();
    return this.sink.writeEvents(texts);
  }

  /** Sends the buffered response, or else ends the stream. */
  complete(): void {
    this.result = 'answered';
    if (this.buffered) {
      return this.sink.sendResponse(this.buffered.head, this.buffered.body);
    }
    this.startStream();
    this.sink.endStream();
  }

  /** Sends a backend server's own error response, or else the failure. */
  fail(failure: Failure): void {
    if (this.buffered && failure.kind === 'backend-error') {
      this.result = 'answered';
      return this.sink.sendResponse(this.buffered.head, this.buffered.body);
    }
    this.result = 'failed';
    this.failure = failure;
    this.sink.fail(failure);
  }

  outcome(arrivedAt: number): ResponseOutcome {
    const firstEventAt = this.timing.firstEventAt();
    return {
      result: this.result,
      failure: this.failure,
      status: this.status(),
      firstEventMs:
        firstEventAt === undefined ? undefined : firstEventAt - arrivedAt,
      longestPauseMs: this.timing.longestPauseMs(),
    };
  }

  /** Status that the caller got, if it got one. */
  private status(): number | undefined {
    const {failure, hasStreamStarted, buffered, streamHead} = this;
    if (failure && !hasStreamStarted) return failureStatus(failure);
    return (buffered?.head ?? streamHead)?.status;
  }

  private startStream(): void {
    if (this.hasStreamStarted || !this.streamHead) return;
    this.hasStreamStarted = true;
    this.buffered = undefined;
    this.sink.startStream(this.streamHead);
  }
}
