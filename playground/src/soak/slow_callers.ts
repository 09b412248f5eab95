import {startSlowCaller} from '@figfall/gateway-server/testing';
import type {CallerOutcome} from '@figfall/gateway-server/testing';
import {CALLER_TIMEOUT_MS} from './caller_timeout_ms.js';
import {startOneByOne} from './start_one_by_one.js';

interface SlowCallersOptions {
  /** Part of all request ids, so that they differ from those of other callers. */
  readonly seed: number;
  readonly port: number;
  /** Called before a request that a server may get whole is sent. */
  readonly onRequest: (outcome: CallerOutcome, gateway: string) => void;
}

interface Gateway {
  readonly name: string;
  readonly host: string;
}

/** Slow callers of one action, and the time between two of them. */
const COUNT = 150;
const INTERVAL_MS = 4;

/** Bytes of a body or of a response: as many as the configuration allows. */
const BODY_BYTES = 4_194_304;

const UNFINISHED_BODY = Buffer.alloc(BODY_BYTES - 1, 'x');

const CREDENTIALS = {workspace: 'lindenau', apiKey: 'key-a'};

/** Starts the slow callers of one action; returns a function that ends them. */
function startCallers(start: () => () => void): () => void {
  return startOneByOne({count: COUNT, intervalMs: INTERVAL_MS, start});
}

/** Callers that hold requests open at one gateway, many at once. */
export class SlowCallers {
  private count = 0;

  constructor(private readonly options: SlowCallersOptions) {}

  /** Sends bodies but for the last byte. Returns a function that ends them. */
  sendUnfinishedBodies({host}: Gateway): () => void {
    const {port} = this.options;
    return startCallers(() =>
      startSlowCaller({
        address: {host, port},
        ...CREDENTIALS,
        requestId: this.nextId(),
        target: '/book/unfinished/',
        timeoutMs: CALLER_TIMEOUT_MS,
        unfinishedBody: UNFINISHED_BODY,
      }),
    );
  }

  /** Asks for large responses and reads none of them; ends likewise. */
  leaveResponsesUnread({host, name}: Gateway): () => void {
    const {port} = this.options;
    return startCallers(() => {
      const requestId = this.nextId();
      const target = `/bulk/${requestId}/?fill=${BODY_BYTES}`;
      this.options.onRequest(this.outcomeOf(requestId, target), name);
      return startSlowCaller({
        address: {host, port},
        ...CREDENTIALS,
        requestId,
        target,
        timeoutMs: CALLER_TIMEOUT_MS,
      });
    });
  }

  private nextId(): string {
    this.count += 1;
    return `slow${this.options.seed}-${this.count}`;
  }

  /** What such a caller sees: nothing, until it leaves. */
  private outcomeOf(requestId: string, target: string): CallerOutcome {
    return {
      requestId,
      kind: 'read',
      method: 'GET',
      target,
      body: '',
      workspace: CREDENTIALS.workspace,
      responseBody: '',
      isComplete: false,
      endedAt: performance.now(),
      hasCallerLeft: true,
    };
  }
}
