import type {CallEvent} from '../calls/call_event.js';
import {createFailure} from '../errors/create_failure.js';
import {scheduler} from '../scheduler/scheduler.js';
import type {SchedulerCommand} from '../scheduler/scheduler_command.js';
import type {SchedulerEvent} from '../scheduler/scheduler_event.js';
import type {Cluster} from './cluster.js';
import type {ClusterCall} from './cluster_call.js';
import {RESPONSE_TOKENS} from './response_tokens.js';
import {schedulerFixture} from './scheduler_fixture.js';

const OPTIONS = schedulerFixture.options({
  warmMaxRunning: 4,
  coldMaxRunning: 1,
});

interface Attempt {
  readonly call: ClusterCall;
  /** Index of the first token that this attempt generates. */
  readonly from: number;
  /** Index of the next token. */
  next: number;
  state: 'queued' | 'running' | 'done' | 'failed';
}

/** An agent with the real scheduler and a simulated engine that may crash. */
export class ClusterAgent {
  incarnation = 1;
  engineIncarnation = 1;
  linked = true;
  schedulerState = scheduler.create(schedulerFixture.status(), OPTIONS, 0);
  private attempts = new Map<string, Attempt>();

  constructor(
    readonly id: string,
    private readonly cluster: Cluster,
  ) {}

  stepScheduler(event: SchedulerEvent): void {
    const next = scheduler.step(
      this.schedulerState,
      event,
      OPTIONS,
      this.cluster.now,
    );
    this.schedulerState = next.state;
    next.commands.forEach(command => this.execute(command));
  }

  running(): string[] {
    return [...this.schedulerState.running.keys()];
  }

  open(attemptId: string, call: ClusterCall, from: number): void {
    if (this.attempts.has(attemptId)) return;
    this.attempts.set(attemptId, {call, from, next: from, state: 'queued'});
    const offered = schedulerFixture.call(attemptId, {
      arrivedAt: this.cluster.now,
      deadlineAt: this.cluster.now + 4_000,
    });
    this.stepScheduler({type: 'offer', call: offered, weight: 1});
  }

  attach(attemptId: string, call: ClusterCall, from: number): void {
    const attempt = this.attempts.get(attemptId);
    const agentIncarnation = String(this.incarnation);
    if (!attempt) {
      return this.tell(call, {type: 'unseen', attemptId, agentIncarnation});
    }
    this.tell(call, {type: 'alive', attemptId});
    const texts = Array.from({length: attempt.next - from}, () => 't');
    if (from >= attempt.from && texts.length > 0) {
      this.tell(call, {type: 'tokens', attemptId, index: from, texts});
    }
    if (attempt.state === 'done') {
      this.tell(call, {type: 'done', attemptId, count: RESPONSE_TOKENS});
    }
    if (attempt.state === 'failed') this.fail(attemptId, attempt);
  }

  cancel(attemptId: string): void {
    const attempt = this.attempts.get(attemptId);
    if (!attempt?.call.options.idempotent && attempt?.state === 'running') {
      return;
    }
    this.stepScheduler({type: 'cancel', callId: attemptId});
  }

  /** Generates one token of the running call that `choice` selects. */
  generate(choice: number): void {
    const ids = this.running();
    const attemptId = ids[choice % Math.max(1, ids.length)];
    const attempt = this.attempts.get(attemptId ?? '');
    if (!attempt) return;
    if (attempt.next === attempt.from) {
      this.stepScheduler({type: 'first-token', callId: attemptId});
    }
    const index = attempt.next++;
    this.tell(attempt.call, {
      type: 'tokens',
      attemptId,
      index,
      texts: ['t'],
    });
    if (attempt.next < RESPONSE_TOKENS) return;
    attempt.state = 'done';
    this.tell(attempt.call, {type: 'done', attemptId, count: RESPONSE_TOKENS});
    this.stepScheduler({type: 'finished', callId: attemptId, healthy: true});
  }

  crashEngine(): void {
    this.engineIncarnation += 1;
    this.running().forEach(attemptId => {
      const attempt = this.attempts.get(attemptId);
      if (attempt) this.fail(attemptId, attempt);
      this.stepScheduler({type: 'finished', callId: attemptId, healthy: false});
    });
    this.stepScheduler({type: 'connection-lost'});
  }

  /** Restarts the agent's process and frees the work of its engine. */
  restart(): void {
    this.incarnation += 1;
    this.attempts.clear();
    this.schedulerState = scheduler.create(
      this.schedulerState.serverStatus,
      OPTIONS,
      this.cluster.now,
    );
  }

  report(): void {
    const incarnation = String(this.engineIncarnation);
    this.stepScheduler({type: 'load-report', incarnation, cold: false});
  }

  private fail(attemptId: string, attempt: Attempt): void {
    attempt.state = 'failed';
    const failure = createFailure('backend-lost', 'lost');
    const crashed = true;
    this.tell(attempt.call, {type: 'failed', attemptId, failure, crashed});
  }

  private tell(call: ClusterCall, event: CallEvent): void {
    this.cluster.toEntry(this.id, () => call.step(event));
  }

  private execute(command: SchedulerCommand): void {
    if (!('callId' in command)) return;
    const {callId: attemptId} = command;
    const attempt = this.attempts.get(attemptId);
    if (!attempt) return;
    if (command.type === 'accept') {
      this.tell(attempt.call, {type: 'accepted', attemptId});
    }
    if (command.type === 'refuse') {
      const {failure} = command;
      this.tell(attempt.call, {type: 'refused', attemptId, failure});
    }
    if (command.type === 'dispatch') {
      const {zoneInService, leaving} = this.schedulerState.serverStatus;
      if (!zoneInService || leaving)
        throw new Error('dispatched while not serving');
      attempt.state = 'running';
      attempt.call.executions += 1;
    }
    if (command.type === 'shed') {
      this.stepScheduler({type: 'cancel', callId: attemptId});
      this.fail(attemptId, attempt);
    }
  }
}
