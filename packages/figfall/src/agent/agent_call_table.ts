import {callRecords} from '@figfall/decisions';
import type {CallRecord, Failure} from '@figfall/decisions';
import type {Link, OpenCall, PeerMessage} from '@figfall/node-link';
import type {NodeContext} from '../node/node_context.js';
import type {LinkTable} from '../node/link_table.js';
import type {AgentCall} from './agent_call.js';
import {AGENT} from './agent_constants.js';

const RETENTION = {
  outcomeRetentionMs: AGENT.OUTCOME_MS,
  reattachTimeoutMs: AGENT.OWNER_MS,
};

type CallResult = NonNullable<CallRecord['result']>;

/** The calls of an agent, and what their entries are told. */
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

  add(open: OpenCall, linkId: string): AgentCall {
    const {tracing} = this.context;
    const texts: string[] = [];
    const call: AgentCall = {
      open,
      deadlineAt: Date.now() + open.deadlineInMs,
      abort: new AbortController(),
      span: tracing.start({
        name: 'agent.call',
        traceparent: open.traceparent,
        attributes: {'figfall.call': open.callId},
      }),
      chunks: open.body ? [open.body] : [],
      receivedBytes: open.body?.byteLength ?? 0,
      texts,
      started: false,
      sampledAt: 0,
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

  /** Sends a message to the entry that follows a call, if one does. */
  tell(call: AgentCall, message: PeerMessage): void {
    const {linkId} = call.record;
    if (linkId) this.links.find(linkId)?.send(call.open.callId, message);
  }

  /** Adds a generated token and passes it on. */
  addToken(call: AgentCall, text: string): void {
    const {callId} = call.open;
    const index = callRecords.nextIndex(call.record);
    call.texts.push(text);
    this.tell(call, {type: 'tokens', callId, index, texts: [text]});
  }

  /** Ends a call with its result and tells the entry. */
  end(call: AgentCall, result: CallResult): void {
    if (call.record.status === 'ended') return;
    call.record = {
      ...call.record,
      status: 'ended',
      result,
      endedAt: Date.now(),
    };
    call.chunks.length = 0;
    call.span.end();
    this.tellResult(call);
  }

  /** Answers an entry that asks what became of a call. */
  attach(link: Link, callId: string, from: number): void {
    const call = this.calls.get(callId);
    if (!call) {
      const {incarnation} = this.context.identity;
      return link.send(callId, {type: 'unseen', callId, incarnation});
    }
    call.record = callRecords.attach(call.record, link.linkId);
    const texts = callRecords.textsFrom(call.record, from);
    this.tell(call, {type: 'alive', callId});
    if (texts.length > 0) {
      const index = Math.max(from, call.record.firstIndex);
      this.tell(call, {type: 'tokens', callId, index, texts});
    }
    this.tellResult(call);
  }

  /** Marks the calls of a link that is down. */
  detach(linkId: string): void {
    this.all()
      .filter(({record}) => record.linkId === linkId)
      .forEach(call => {
        call.record = callRecords.detach(call.record, Date.now());
      });
  }

  /** Calls that nobody follows any more, or whose deadline has passed. */
  overdue(now: number): AgentCall[] {
    return this.all().filter(
      call =>
        call.record.status !== 'ended' &&
        (call.deadlineAt <= now ||
          callRecords.isAbandoned(call.record, RETENTION, now)),
    );
  }

  forgetExpired(now: number): void {
    this.all()
      .filter(({record}) => callRecords.isExpired(record, RETENTION, now))
      .forEach(({open}) => this.calls.delete(open.callId));
  }

  private tellResult(call: AgentCall): void {
    const {result} = call.record;
    if (!result) return;
    const {callId} = call.open;
    const tellers: {
      [Type in CallResult['type']]: (
        result: Extract<CallResult, {type: Type}>,
      ) => PeerMessage;
    } = {
      done: ({count}) => ({
        type: 'done',
        callId,
        count,
        response: call.response,
        carry: call.carry,
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
    const tell = tellers[result.type] as (result: CallResult) => PeerMessage;
    this.tell(call, tell(result));
  }

  /** Ends a call that never reached the backend server. */
  refuse(call: AgentCall, failure: Failure): void {
    this.end(call, {type: 'refused', failure});
  }
}
