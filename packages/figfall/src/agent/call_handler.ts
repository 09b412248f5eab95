import {createFailure} from '@figfall/decisions';
import type {SchedulerCommand, Failure} from '@figfall/decisions';
import type {EngineEvent} from '@figfall/model-engine';
import type {NodeContext} from '../node/node_context.js';
import type {AgentCall} from './agent_call.js';
import type {AgentCallTable} from './agent_call_table.js';
import {AGENT} from './agent_constants.js';
import type {AgentScheduler} from './agent_scheduler.js';
import type {AgentMessage} from './agent_message.js';
import type {CallRunner} from './call_runner.js';

interface CallHandlerOptions {
  readonly context: NodeContext;
  readonly calls: AgentCallTable;
  readonly scheduler: () => AgentScheduler;
  readonly runner: CallRunner;
}

type CallMessage = Extract<AgentMessage, {readonly callId: string}>;

type MessageHandlers = {
  readonly [Type in CallMessage['type']]: (
    call: AgentCall,
    message: Extract<CallMessage, {readonly type: Type}>,
  ) => void;
};

type CallCommand = Extract<SchedulerCommand, {readonly callId: string}>;

type CommandHandlers = {
  readonly [Type in CallCommand['type']]: (
    call: AgentCall,
    command: Extract<CallCommand, {readonly type: Type}>,
  ) => void;
};

/** Moves admitted calls through dispatch, execution and their result. */
export class CallHandler {
  constructor(private readonly options: CallHandlerOptions) {}

  /** Handles an event or the result of a call on the backend server. */
  handle(message: CallMessage): void {
    const call = this.options.calls.find(message.callId);
    if (!call || call.record.status === 'ended') return;
    const handler = this.messageHandlers[message.type] as (
      call: AgentCall,
      message: CallMessage,
    ) => void;
    handler(call, message);
  }

  /** Executes a scheduler command about a call. */
  execute(command: CallCommand): void {
    const call = this.options.calls.find(command.callId);
    if (!call) return;
    const handler = this.commandHandlers[command.type] as (
      call: AgentCall,
      command: CallCommand,
    ) => void;
    handler(call, command);
  }

  /** Appends a part of a call's body; the last part may start the call. */
  addBody(callId: string, bytes: Uint8Array): void {
    const call = this.options.calls.find(callId);
    if (!call || call.record.status === 'ended') return;
    call.bodyChunks.push(bytes);
    call.receivedBodyBytes += bytes.byteLength;
    this.startIfBodyComplete(call);
  }

  /** Cancels a call at its entry's request, if it can be stopped. */
  cancel(callId: string): void {
    const call = this.options.calls.find(callId);
    if (!call || !this.canStop(call)) return;
    this.stop(
      call,
      createFailure('cancelled', 'The caller disconnected.', {
        ran: call.started ? 'unknown' : 'no',
      }),
    );
  }

  /** Stops overdue calls that can be stopped and removes expired results. */
  stopOverdue(now: number): void {
    const {calls} = this.options;
    calls
      .overdue(now)
      .filter(call => this.canStop(call))
      .forEach(call => {
        const isLate = call.deadlineAt <= now;
        const failure = isLate
          ? createFailure('deadline-exceeded', 'The deadline has passed.')
          : createFailure(
              'cancelled',
              'The entry of the call did not reconnect in time.',
            );
        const ran = call.started ? failure.ran : 'no';
        this.stop(call, {...failure, ran});
      });
    calls.removeExpired(now);
  }

  /** A non-idempotent call runs to completion once started: no retry is safe. */
  private canStop(call: AgentCall): boolean {
    return call.open.idempotent || !call.started;
  }

  private stop(call: AgentCall, failure: Failure): void {
    const {callId, kind} = call.open;
    call.abortController.abort();
    if (call.started && kind !== 'service') {
      void this.options.runner.engineClient.cancel(callId);
    }
    this.options.scheduler().step({type: 'cancel', callId});
    this.options.calls.end(call, {type: 'failed', failure, crashed: false});
  }

  private startIfBodyComplete(call: AgentCall): void {
    const isBodyComplete = call.receivedBodyBytes >= call.open.bodyBytes;
    const isRunning = call.record.status === 'running';
    if (!isBodyComplete || !isRunning || call.started) return;
    this.options.runner.start(call);
  }

  private onEngine(call: AgentCall, event: EngineEvent): void {
    if (event.type === 'token') return this.onToken(call, event.text);
    if (event.type === 'end') return this.finish(call, event.count);
    this.fail(call, event.failure, false);
  }

  private onToken(call: AgentCall, text: string): void {
    const {callId} = call.open;
    const now = Date.now();
    if (call.texts.length === 0) {
      call.intervalSampledAt = now;
      this.options.scheduler().step({type: 'first-token', callId});
    }
    this.options.calls.addToken(call, text);
    const count = call.texts.length - 1;
    if (count === 0 || count % AGENT.TOKENS_PER_INTERVAL_SAMPLE !== 0) return;
    const intervalMs =
      (now - call.intervalSampledAt) / AGENT.TOKENS_PER_INTERVAL_SAMPLE;
    call.intervalSampledAt = now;
    this.options.scheduler().step({type: 'token-interval', intervalMs});
  }

  private finish(call: AgentCall, count: number): void {
    const {callId} = call.open;
    this.options.calls.end(call, {type: 'done', count});
    this.options.scheduler().step({type: 'finished', callId, healthy: true});
  }

  private fail(call: AgentCall, failure: Failure, crashed: boolean): void {
    const {callId} = call.open;
    this.options.calls.end(call, {type: 'failed', failure, crashed});
    this.options.scheduler().step({
      type: 'finished',
      callId,
      healthy: false,
      disconnected: crashed,
    });
  }

  private readonly messageHandlers: MessageHandlers = {
    engine: (call, {event}) => this.onEngine(call, event),
    failed: (call, {failure, crashed}) => this.fail(call, failure, crashed),
    'segment-done': (call, {kvCacheHandle}) => {
      call.kvCacheHandle = kvCacheHandle;
      this.finish(call, 0);
    },
    'service-done': (call, {response}) => {
      call.response = response;
      this.finish(call, 0);
    },
    'replayed-outcome': (call, {outcome}) => {
      const {status, contentType, body = ''} = outcome;
      const bytes = Buffer.from(body, 'base64');
      call.response = {status, contentType, body: bytes};
      this.finish(call, 0);
    },
    'claim-refused': (call, {failure, askAgent}) => {
      const {callId} = call.open;
      call.askAgent = askAgent;
      this.options.calls.refuse(call, failure);
      this.options.scheduler().step({type: 'finished', callId, healthy: false});
    },
  };

  private readonly commandHandlers: CommandHandlers = {
    accept: call => {
      const {callId} = call.open;
      this.options.calls.sendToEntry(call, {type: 'accepted', callId});
    },
    refuse: (call, {failure}) => {
      this.options.context.metrics.refusals.inc({kind: failure.kind});
      this.options.calls.refuse(call, failure);
    },
    dispatch: (call, {priority}) => {
      call.priority = priority;
      call.record = {...call.record, status: 'running'};
      this.startIfBodyComplete(call);
    },
    shed: call => {
      if (!this.canStop(call)) return;
      this.stop(
        call,
        createFailure(
          'cold-start-limit',
          'The backend server is in a cold start again.',
          {ran: 'yes'},
        ),
      );
    },
  };
}
