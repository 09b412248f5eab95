import type {Placement} from '../core/placement.js';
import type {BackendEvent} from '../ports/backend_event.js';
import type {BackendAttempt} from './backend_attempt.js';
import type {HedgeEnd} from './hedge_end.js';
import {isAnswer} from './is_answer.js';

type EventListener = (event: BackendEvent) => void;

interface HedgeOptions {
  readonly attemptId: string;
  readonly placement: Placement;
  /** True if the caller has received events of the stream. */
  readonly hasBegun: boolean;
  /** Sends the request as the hedge's attempt. */
  readonly open: (onEvent: EventListener) => BackendAttempt;
  /** Called once it has an answer, or the first events of a stream. */
  readonly onAnswer: () => void;
  /** Called if it ends without an answer. */
  readonly onLost: (end: HedgeEnd) => void;
}

function endOf(event: BackendEvent): HedgeEnd | undefined {
  const {type} = event;
  if (type === 'refused') {
    const {failure, unreachable: isUnreachable} = event;
    return {result: 'refused', reason: failure.message, isUnreachable};
  }
  if (type === 'failed') {
    return {result: 'failed', reason: event.reason, isUnreachable: false};
  }
  if (type !== 'response') return undefined;
  const reason = `The backend server returned status ${event.head.status}.`;
  return {result: 'failed', reason, isUnreachable: false};
}

/**
 * A second attempt of an idempotent request beside one whose backend server is
 * silent. The first of the two that answers goes on. Until the call adopts the
 * hedge, its events are held back.
 */
export class Hedge {
  readonly attempt: BackendAttempt;
  readonly attemptId: string;
  readonly placement: Placement;
  private held: readonly BackendEvent[] = [];
  private deliver?: EventListener;

  constructor(private readonly options: HedgeOptions) {
    this.attemptId = options.attemptId;
    this.placement = options.placement;
    this.attempt = options.open(event => this.onEvent(event));
  }

  /** Delivers the events held back, and those to come. */
  adopt(deliver: EventListener): void {
    const {held} = this;
    this.held = [];
    this.deliver = deliver;
    held.forEach(deliver);
  }

  /** True if the request was written to the hedge's server. */
  mayHaveRun(): boolean {
    return this.held.some(({type}) => type === 'sent');
  }

  private onEvent(event: BackendEvent): void {
    if (this.deliver) return this.deliver(event);
    this.held = [...this.held, event];
    const {hasBegun, onAnswer, onLost} = this.options;
    if (isAnswer(event, hasBegun)) return onAnswer();
    const end = endOf(event);
    if (end) onLost(end);
  }
}
