import {createModelEngineClient} from '@figfall/model-engine';
import type {ModelEngineClient} from '@figfall/model-engine';
import {createPlainServiceClient} from '@figfall/plain-service';
import type {Task} from '@figfall/task';
import type {NodeContext} from '../node/node_context.js';
import type {AgentCall} from './agent_call.js';
import {AGENT} from './agent_constants.js';
import type {AgentMessage} from './agent_message.js';
import type {AtMostOnceRunner} from './at_most_once_runner.js';

interface CallRunnerOptions {
  readonly context: NodeContext;
  readonly backendUrl: string;
  readonly atMostOnce: AtMostOnceRunner;
  /** The agent's task, which receives the events and results of calls. */
  readonly task: () => Task<AgentMessage>;
}

/** Sends a call to the backend server within a W3C trace context. */
type StartCall = (call: AgentCall, traceparent: string) => Promise<void>;

/** Runs calls on the backend server and reports to the agent's task. */
export class CallRunner {
  readonly engineClient: ModelEngineClient;
  private readonly plainService;

  private readonly starters: Record<AgentCall['open']['kind'], StartCall> = {
    completion: (call, trace) => this.generate(call, 'completion', trace),
    chat: (call, trace) => this.generate(call, 'chat', trace),
    segment: call => this.prefillSegment(call),
    service: (call, trace) => this.callService(call, trace),
  };

  constructor(private readonly options: CallRunnerOptions) {
    const {backendUrl} = options;
    this.engineClient = createModelEngineClient({
      baseUrl: backendUrl,
      timeoutMs: AGENT.ENGINE_TIMEOUT_MS,
      streamTimeoutMs: AGENT.STREAM_IDLE_TIMEOUT_MS,
    });
    this.plainService = createPlainServiceClient(backendUrl);
  }

  /** Starts a call whose body has been received completely. */
  start(call: AgentCall): void {
    call.started = true;
    const {tracing, logger} = this.options.context;
    const span = tracing.start({
      name: 'backend.call',
      traceparent: tracing.traceparentOf(call.span),
    });
    this.starters[call.open.kind](call, tracing.traceparentOf(span))
      .catch((error: Error) =>
        logger.error(error.message, {callId: call.open.callId}),
      )
      .finally(() => span.end());
  }

  /**
   * Reads the backend server's load and reports it to the agent's task. A
   * plain service has no load report; only its health is checked.
   */
  async readLoad(kind: 'model-engine' | 'plain-service'): Promise<void> {
    const task = this.options.task();
    if (kind === 'model-engine') {
      const load = await this.engineClient.fetchLoad();
      task.send({type: 'load', load: load.unwrapOr(undefined)});
      return;
    }
    const isHealthy = await this.plainService.isHealthy();
    const load = {
      incarnation: 'plain',
      cold: false,
      running: 0,
      totalTokens: Number.MAX_SAFE_INTEGER,
      freeTokens: Number.MAX_SAFE_INTEGER,
      held: [],
      models: [],
    };
    task.send({type: 'load', load: isHealthy ? load : undefined});
  }

  private async generate(
    call: AgentCall,
    kind: 'completion' | 'chat',
    traceparent: string,
  ): Promise<void> {
    const {open} = call;
    const events = this.engineClient.generate({
      requestId: open.callId,
      kind,
      model: open.target,
      body: Buffer.concat(call.bodyChunks),
      priority: call.priority ?? 0,
      resumeIndex: open.resumeIndex,
      resumeText: open.resumeText,
      kvCacheHandle: open.carry,
      traceparent,
      signal: call.abortController.signal,
    });
    for await (const event of events) {
      if (event.type === 'failed' && event.connectionLost) {
        return this.reportConnectionLost(call, event.failure);
      }
      this.options.task().send({type: 'engine', callId: open.callId, event});
    }
  }

  /**
   * Reports a lost engine connection. The engine counts as crashed if it does
   * not respond or holds no work.
   */
  private async reportConnectionLost(
    call: AgentCall,
    failure: Extract<AgentMessage, {type: 'failed'}>['failure'],
  ): Promise<void> {
    const {callId} = call.open;
    if (call.abortController.signal.aborted) return;
    const load = await this.engineClient.fetchLoad();
    const crashed = load.isErr() || load.value.held.length === 0;
    this.options.task().send({type: 'failed', callId, failure, crashed});
  }

  private async prefillSegment(call: AgentCall): Promise<void> {
    const {open} = call;
    const result = await this.engineClient.prefillSegment({
      requestId: open.reservationId ?? open.callId,
      model: open.target,
      text: Buffer.concat(call.bodyChunks).toString('utf8'),
      kvCacheHandle: open.carry,
      priority: call.priority ?? 0,
      signal: call.abortController.signal,
    });
    const {callId} = open;
    this.options
      .task()
      .send(
        result.isOk()
          ? {type: 'segment-done', callId, kvCacheHandle: result.value}
          : {type: 'failed', callId, failure: result.error, crashed: false},
      );
  }

  private async sendToService(call: AgentCall, traceparent: string) {
    const {open} = call;
    const result = await this.plainService.send({
      method: open.http?.method ?? 'POST',
      path: open.http?.path ?? '/',
      contentType: open.http?.contentType ?? 'application/octet-stream',
      body: Buffer.concat(call.bodyChunks),
      idempotencyKey: open.key?.key,
      timeoutMs: Math.max(1, call.deadlineAt - Date.now()),
      traceparent,
    });
    return result.isOk()
      ? ({type: 'completed', response: result.value} as const)
      : ({type: 'failed', failure: result.error} as const);
  }

  private async callService(
    call: AgentCall,
    traceparent: string,
  ): Promise<void> {
    const {open} = call;
    const {callId, key} = open;
    const send = () => this.sendToService(call, traceparent);
    const result =
      open.idempotent || !key
        ? await send()
        : await this.options.atMostOnce.run(
            {...open, key},
            call.deadlineAt,
            send,
          );
    const task = this.options.task();
    switch (result.type) {
      case 'completed':
        return task.send({
          type: 'service-done',
          callId,
          response: result.response,
        });
      case 'replayed':
        return task.send({
          type: 'replayed-outcome',
          callId,
          outcome: result.outcome,
        });
      case 'not-run': {
        const {failure, askAgent} = result;
        return task.send({type: 'claim-refused', callId, failure, askAgent});
      }
      case 'failed':
        return task.send({
          type: 'failed',
          callId,
          failure: result.failure,
          crashed: false,
        });
    }
  }
}
