import {createModelEngineClient} from '@figfall/model-engine';
import type {ModelEngineClient} from '@figfall/model-engine';
import {createPlainServiceClient} from '@figfall/plain-service';
import type {Task} from '@figfall/task';
import type {NodeContext} from '../node/node_context.js';
import type {AgentCall} from './agent_call.js';
import {AGENT} from './agent_constants.js';
import type {AgentMessage} from './agent_message.js';
import type {GuardedRuns} from './guarded_runs.js';

interface CallRunnerOptions {
  readonly context: NodeContext;
  readonly backendUrl: string;
  readonly guarded: GuardedRuns;
  /** The agent's task, which learns what becomes of each call. */
  readonly task: () => Task<AgentMessage>;
}

/** Runs a call under the trace context of its span. */
type Start = (call: AgentCall, traceparent: string) => Promise<void>;

/** Runs calls on the backend server and tells the agent's task of them. */
export class CallRunner {
  readonly engine: ModelEngineClient;
  private readonly service;

  private readonly starts: Record<AgentCall['open']['kind'], Start> = {
    completion: (call, trace) => this.generate(call, 'completion', trace),
    chat: (call, trace) => this.generate(call, 'chat', trace),
    segment: call => this.prefillSegment(call),
    service: (call, trace) => this.callService(call, trace),
  };

  constructor(private readonly options: CallRunnerOptions) {
    const {backendUrl} = options;
    this.engine = createModelEngineClient({
      baseUrl: backendUrl,
      timeoutMs: AGENT.ENGINE_TIMEOUT_MS,
      streamTimeoutMs: AGENT.STREAM_TIMEOUT_MS,
    });
    this.service = createPlainServiceClient(backendUrl);
  }

  /** Starts a call whose body has come whole. */
  start(call: AgentCall): void {
    call.started = true;
    const {tracing, logger} = this.options.context;
    const span = tracing.start({
      name: 'backend.call',
      traceparent: tracing.traceparentOf(call.span),
    });
    this.starts[call.open.kind](call, tracing.traceparentOf(span))
      .catch((error: Error) =>
        logger.error(error.message, {callId: call.open.callId}),
      )
      .finally(() => span.end());
  }

  /** Reads the backend server's load and reports it to the agent's task. */
  async readLoad(kind: 'model-engine' | 'plain-service'): Promise<void> {
    const task = this.options.task();
    if (kind === 'model-engine') {
      const load = await this.engine.fetchLoad();
      task.send({type: 'load', load: load.unwrapOr(undefined)});
      return;
    }
    const isHealthy = await this.service.isHealthy();
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
    const events = this.engine.generate({
      requestId: open.callId,
      kind,
      model: open.target,
      body: Buffer.concat(call.chunks),
      priority: call.priority ?? 0,
      resumeIndex: open.resumeIndex,
      resumeText: open.resumeText,
      kvCacheHandle: open.carry,
      traceparent,
      signal: call.abort.signal,
    });
    for await (const event of events) {
      if (event.type === 'failed' && event.connectionLost) {
        return this.reportLost(call, event.failure);
      }
      this.options.task().send({type: 'engine', callId: open.callId, event});
    }
  }

  /** Finds out whether the engine crashed before a loss is reported. */
  private async reportLost(
    call: AgentCall,
    failure: Extract<AgentMessage, {type: 'lost'}>['failure'],
  ): Promise<void> {
    const {callId} = call.open;
    if (call.abort.signal.aborted) return;
    const load = await this.engine.fetchLoad();
    const crashed = load.isErr() || load.value.held.length === 0;
    this.options.task().send({type: 'lost', callId, failure, crashed});
  }

  private async prefillSegment(call: AgentCall): Promise<void> {
    const {open} = call;
    const result = await this.engine.prefillSegment({
      requestId: open.reservationId ?? open.callId,
      model: open.target,
      text: Buffer.concat(call.chunks).toString('utf8'),
      kvCacheHandle: open.carry,
      priority: call.priority ?? 0,
      signal: call.abort.signal,
    });
    const {callId} = open;
    this.options
      .task()
      .send(
        result.isOk()
          ? {type: 'segment-done', callId, carry: result.value}
          : {type: 'lost', callId, failure: result.error, crashed: false},
      );
  }

  private async send(call: AgentCall, traceparent: string) {
    const {open} = call;
    const answer = await this.service.send({
      method: open.http?.method ?? 'POST',
      path: open.http?.path ?? '/',
      contentType: open.http?.contentType ?? 'application/octet-stream',
      body: Buffer.concat(call.chunks),
      idempotencyKey: open.key?.key,
      timeoutMs: Math.max(1, call.deadlineAt - Date.now()),
      traceparent,
    });
    return answer.isOk()
      ? ({type: 'ran', response: answer.value} as const)
      : ({type: 'lost', failure: answer.error} as const);
  }

  private async callService(
    call: AgentCall,
    traceparent: string,
  ): Promise<void> {
    const {open} = call;
    const {callId, key} = open;
    const send = () => this.send(call, traceparent);
    const result =
      open.idempotent || !key
        ? await send()
        : await this.options.guarded.run({...open, key}, call.deadlineAt, send);
    const task = this.options.task();
    switch (result.type) {
      case 'ran':
        return task.send({
          type: 'service-done',
          callId,
          response: result.response,
        });
      case 'known':
        return task.send({
          type: 'known-outcome',
          callId,
          outcome: result.outcome,
        });
      case 'not-run': {
        const {failure, askAgent} = result;
        return task.send({type: 'not-claimed', callId, failure, askAgent});
      }
      case 'lost':
        return task.send({
          type: 'lost',
          callId,
          failure: result.failure,
          crashed: false,
        });
    }
  }
}
