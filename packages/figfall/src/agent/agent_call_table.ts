import {callRecords} from '@figfall/decisions';
import type {CallRecord, Failure} from '@figfall/decisions';
import type {Link, OpenCall, PeerMessage} from '@figfall/node-link';
import type {NodeContext} from '../node/node_context.js';
import type {LinkTable} from '../node/link_table.js';
import type {AgentCall} from './agent_call.js';
import {AGENT} from './agent_constants.js';

const CALL_RETENTION = {
  outcomeRetentionMs: AGENT.CALL_RESULT_RETENTION_MS,
  reattachTimeoutMs: AGENT.REATTACH_TIMEOUT_MS,
};

type CallResult = NonNullable<CallRecord['result']>;

/** The calls of an agent; sends their tokens and results to the entries. */
export class AgentCallTable {
  private readonly calls = new Map<string, AgentCall>();

  constructor(
    private readonly context: NodeContext,
    private readonly links: LinkTable,
  ) {}

  find(callId: string): AgentCall | undefined {
    return this.calls.get(callId);
  }

  all(): AgentCall[] {
    return [...this.calls.values()];
  }

  running(): AgentCall[] {
    return this.all().filter(({record}) => record.status === 'running');
  }

  /** Adds an offered call in the queued state and starts its trace span. */
  add(open: OpenCall, linkId: string): AgentCall {
    const {tracing} = this.context;
    const texts: string[] = [];
    const call: AgentCall = {
      open,
      deadlineAt: Date.now() + open.deadlineInMs,
      abortController: new AbortController(),
      span: tracing.start({
        name: 'agent.call',
        traceparent: open.traceparent,
        attributes: {'figfall.call': open.callId},
      }),
      bodyChunks: open.body ? [open.body] : [],
      receivedBodyBytes: open.body?.byteLength ?? 0,
      texts,
      started: false,
      intervalSampledAt: 0,
      record: {
        callId: open.callId,
        status: 'queued',
        firstIndex: open.resumeIndex,
        texts,
        linkId,
      },
    };
    this.calls.set(open.callId, call);
    return call;
  }

  /** Sends a message to the entry attached to a call, if there is one. */
  sendToEntry(call: AgentCall, message: PeerMessage): void {
    const {linkId} = call.record;
    if (linkId) this.links.find(linkId)?.send(call.open.callId, message);
  }

  /** Appends a generated token and sends it to the entry. */
  addToken(call: AgentCall, text: string): void {
    const {callId} = call.open;
    const index = callRecords.nextIndex(call.record);
    call.texts.push(text);
    this.sendToEntry(call, {type: 'tokens', callId, index, texts: [text]});
  }

  /** Ends a call and sends its result to the entry; no-op if already ended. */
  end(call: AgentCall, result: CallResult): void {
    if (call.record.status === 'ended') return;
    call.record = {
      ...call.record,
      status: 'ended',
      result,
      endedAt: Date.now(),
    };
    call.bodyChunks.length = 0;
    call.span.end();
    this.sendResult(call);
  }

  /**
   * Attaches an entry to a call and resends the tokens from index `from` and
   * the result. Replies `unseen` if this process doesn't know the call.
   */
  attach(link: Link, callId: string, from: number): void {
    const call = this.calls.get(callId);
    if (!call) {
      const {incarnation} = this.context.identity;
      return link.send(callId, {type: 'unseen', callId, incarnation});
    }
    call.record = callRecords.attach(call.record, link.linkId);
    const texts = callRecords.textsFrom(call.record, from);
    this.sendToEntry(call, {type: 'alive', callId});
    if (texts.length > 0) {
      const index = Math.max(from, call.record.firstIndex);
      this.sendToEntry(call, {type: 'tokens', callId, index, texts});
    }
    this.sendResult(call);
  }

  /** Marks the calls attached to a closed link as detached. */
  detach(linkId: string): void {
    this.all()
      .filter(({record}) => record.linkId === linkId)
      .forEach(call => {
        call.record = callRecords.detach(call.record, Date.now());
      });
  }

  /** Returns calls past their deadline or not reattached within the timeout. */
  overdue(now: number): AgentCall[] {
    return this.all().filter(
      call =>
        call.record.status !== 'ended' &&
        (call.deadlineAt <= now ||
          callRecords.isAbandoned(call.record, CALL_RETENTION, now)),
    );
  }

  /** Removes ended calls whose result retention has passed. */
  removeExpired(now: number): void {
    this.all()
      .filter(({record}) => callRecords.isExpired(record, CALL_RETENTION, now))
      .forEach(({open}) => this.calls.delete(open.callId));
  }

  private sendResult(call: AgentCall): void {
    const {result} = call.record;
    if (!result) return;
    const {callId} = call.open;
    const builders: {
      [Type in CallResult['type']]: (
        result: Extract<CallResult, {type: Type}>,
      ) => PeerMessage;
    } = {
      done: ({count}) => ({
        type: 'done',
        callId,
        count,
        response: call.response,
        carry: call.kvCacheHandle,
      }),
      refused: ({failure}) => ({
        type: 'refused',
        callId,
        failure,
        askAgent: call.askAgent,
      }),
      failed: ({failure, crashed}) => ({
        type: 'failed',
        callId,
        failure,
        crashed,
      }),
    };
    const buildMessage = builders[result.type] as (
      result: CallResult,
    ) => PeerMessage;
    this.sendToEntry(call, buildMessage(result));
  }

  /** Ends a call that was not sent to the backend server. */
  refuse(call: AgentCall, failure: Failure): void {
    this.end(call, {type: 'refused', failure});
  }
}
