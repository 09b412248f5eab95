import {createFailure} from '@figfall/decisions';
import type {SchedulerCommand, Failure} from '@figfall/decisions';
import type {EngineEvent} from '@figfall/model-engine';
import type {NodeContext} from '../node/node_context.js';
import type {AgentCall} from './agent_call.js';
import type {AgentCallTable} from './agent_call_table.js';
import {AGENT} from './agent_constants.js';
import type {AgentDoor} from './agent_door.js';
import type {AgentMessage} from './agent_message.js';
import type {CallRunner} from './call_runner.js';

interface CallDeskOptions {
  readonly context: NodeContext;
  readonly calls: AgentCallTable;
  readonly door: () => AgentDoor;
  readonly runner: CallRunner;
}

type CallMessage = Extract<AgentMessage, {readonly callId: string}>;

type CallHandlers = {
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

/** Takes calls from the door to the backend server and to their end. */
export class CallDesk {
  constructor(private readonly options: CallDeskOptions) {}

  /** Handles what became of a call on the backend server. */
  handle(message: CallMessage): void {
    const call = this.options.calls.find(message.callId);
    if (!call || call.record.status === 'ended') return;
    const handler = this.handlers[message.type] as (
      call: AgentCall,
      message: CallMessage,
    ) => void;
    handler(call, message);
  }

  /** Carries out a scheduler command about a call. */
  execute(command: CallCommand): void {
    const call = this.options.calls.find(command.callId);
    if (!call) return;
    const handler = this.commands[command.type] as (
      call: AgentCall,
      command: CallCommand,
    ) => void;
    handler(call, command);
  }

  /** Adds a part of a call's body. */
  addBody(callId: string, bytes: Uint8Array): void {
    const call = this.options.calls.find(callId);
    if (!call || call.record.status === 'ended') return;
    call.chunks.push(bytes);
    call.receivedBytes += bytes.byteLength;
    this.startIfWhole(call);
  }

  /** Cancels a call that its entry has given up. */
  cancel(callId: string): void {
    const call = this.options.calls.find(callId);
    if (!call || !this.mayStop(call)) return;
    this.stop(
      call,
      createFailure('cancelled', 'The caller went away.', {
        ran: call.started ? 'unknown' : 'no',
      }),
    );
  }

  /** Stops calls that are late or that nobody follows. */
  sweep(now: number): void {
    const {calls} = this.options;
    calls
      .overdue(now)
      .filter(call => this.mayStop(call))
      .forEach(call => {
        const isLate = call.deadlineAt <= now;
        const failure = isLate
          ? createFailure('deadline-exceeded', 'The deadline has passed.')
          : createFailure('cancelled', 'The entry of the call is gone.');
        const ran = call.started ? failure.ran : 'no';
        this.stop(call, {...failure, ran});
      });
    calls.forgetExpired(now);
  }

  /** A call that may not repeat goes on to its end once it has started. */
  private mayStop(call: AgentCall): boolean {
    return call.open.idempotent || !call.started;
  }

  private stop(call: AgentCall, failure: Failure): void {
    const {callId, kind} = call.open;
    call.abort.abort();
    if (call.started && kind !== 'service') {
      void this.options.runner.engine.cancel(callId);
    }
    this.options.door().step({type: 'cancel', callId});
    this.options.calls.end(call, {type: 'failed', failure, crashed: false});
  }

  private startIfWhole(call: AgentCall): void {
    const isWhole = call.receivedBytes >= call.open.bodyBytes;
    const isRunning = call.record.status === 'running';
    if (!isWhole || !isRunning || call.started) return;
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
      call.sampledAt = now;
      this.options.door().step({type: 'first-token', callId});
    }
    this.options.calls.addToken(call, text);
    const count = call.texts.length - 1;
    if (count === 0 || count % AGENT.INTERVAL_SAMPLE_TOKENS !== 0) return;
    const intervalMs = (now - call.sampledAt) / AGENT.INTERVAL_SAMPLE_TOKENS;
    call.sampledAt = now;
    this.options.door().step({type: 'token-interval', intervalMs});
  }

  private finish(call: AgentCall, count: number): void {
    const {callId} = call.open;
    this.options.calls.end(call, {type: 'done', count});
    this.options.door().step({type: 'finished', callId, healthy: true});
  }

  private fail(call: AgentCall, failure: Failure, crashed: boolean): void {
    const {callId} = call.open;
    this.options.calls.end(call, {type: 'failed', failure, crashed});
    this.options.door().step({type: 'finished', callId, healthy: false});
  }

  private readonly handlers: CallHandlers = {
    engine: (call, {event}) => this.onEngine(call, event),
    lost: (call, {failure, crashed}) => {
      this.fail(call, failure, crashed);
      if (crashed) this.options.door().step({type: 'connection-lost'});
    },
    'segment-done': (call, {carry}) => {
      call.carry = carry;
      this.finish(call, 0);
    },
    'service-done': (call, {response}) => {
      call.response = response;
      this.finish(call, 0);
    },
    'known-outcome': (call, {outcome}) => {
      const {status, contentType, body = ''} = outcome;
      const bytes = Buffer.from(body, 'base64');
      call.response = {status, contentType, body: bytes};
      this.finish(call, 0);
    },
    'not-claimed': (call, {failure, askAgent}) => {
      const {callId} = call.open;
      call.askAgent = askAgent;
      this.options.calls.refuse(call, failure);
      this.options.door().step({type: 'finished', callId, healthy: false});
    },
  };

  private readonly commands: CommandHandlers = {
    accept: call => {
      const {callId} = call.open;
      this.options.calls.tell(call, {type: 'accepted', callId});
    },
    refuse: (call, {failure}) => {
      this.options.context.metrics.refusals.inc({kind: failure.kind});
      this.options.calls.refuse(call, failure);
    },
    dispatch: (call, {priority}) => {
      call.priority = priority;
      call.record = {...call.record, status: 'running'};
      this.startIfWhole(call);
    },
    shed: call => {
      if (!this.mayStop(call)) return;
      this.stop(
        call,
        createFailure(
          'cold-start-limit',
          'The backend server fell back into a cold start.',
          {ran: 'yes'},
        ),
      );
    },
  };
}
