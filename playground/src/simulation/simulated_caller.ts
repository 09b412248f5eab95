import type {ResponseSink} from '@figfall/gateway';
import type {SimulatedRequest} from './simulated_request.js';
import type {SimulatedResult} from './simulated_result.js';

/** A caller in virtual time. Records event times and the outcome. */
export class SimulatedCaller {
  private firstEventMs?: number;
  private longestPauseMs = 0;
  private lastEventAt: number;
  private outcome?: SimulatedResult['outcome'];

  constructor(
    private readonly request: SimulatedRequest,
    private readonly now: () => number,
  ) {
    this.lastEventAt = now();
  }

  readonly sink: ResponseSink = {
    sendResponse: () => {
      this.outcome = 'failed';
    },
    startStream: () => undefined,
    writeEvents: () => {
      this.recordEvent();
      return true;
    },
    endStream: () => {
      this.outcome = this.isOnTime() ? 'on-time' : 'late';
    },
    fail: ({ran}) => {
      this.outcome = ran === 'no' ? 'refused' : 'failed';
    },
  };

  result(): SimulatedResult {
    const {request, firstEventMs, longestPauseMs} = this;
    const outcome = this.outcome ?? 'failed';
    return {request, outcome, firstEventMs, longestPauseMs};
  }

  private isOnTime(): boolean {
    const {targetMs, pauseMs} = this.request;
    const firstMs = this.firstEventMs ?? Infinity;
    return firstMs <= targetMs && this.longestPauseMs <= pauseMs;
  }

  private recordEvent(): void {
    const now = this.now();
    if (this.firstEventMs === undefined) {
      this.firstEventMs = now - this.request.arrivalMs;
    } else {
      this.longestPauseMs = Math.max(
        this.longestPauseMs,
        now - this.lastEventAt,
      );
    }
    this.lastEventAt = now;
  }
}
