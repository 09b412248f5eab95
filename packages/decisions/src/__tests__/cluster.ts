import type {CallCommand} from '../calls/call_command.js';
import type {CallEvent} from '../calls/call_event.js';
import {callMachine} from '../calls/call_machine.js';
import type {CallOptions} from '../calls/call_options.js';
import {createFailure} from '../errors/create_failure.js';
import type {Failure} from '../errors/failure.js';
import {scheduler} from '../scheduler/scheduler.js';
import type {SchedulerCommand} from '../scheduler/scheduler_command.js';
import type {SchedulerEvent} from '../scheduler/scheduler_event.js';
import {schedulerLoad} from '../scheduler/scheduler_load.js';
import {schedulerFixture} from './scheduler_fixture.js';

/** Tokens of each complete response. */
const RESPONSE_TOKENS = 3;
const OPTIONS = schedulerFixture.options({
  warmMaxRunning: 4,
  coldMaxRunning: 1,
});

/** Delivers one message of a link. */
type Message = () => void;

interface Attempt {
  readonly call: Call;
  /** Index of the first token that this attempt generates. */
  readonly from: number;
  /** Index of the next token. */
  next: number;
  state: 'queued' | 'running' | 'done' | 'failed';
}

/** One request at an entry, run by the real call machine. */
class Call {
  private state;
  readonly options: CallOptions;
  emitted = 0;
  executions = 0;
  failure?: Failure;
  hasEnded = false;
  private attemptCount = 0;

  constructor(
    readonly id: string,
    private readonly cluster: Cluster,
    idempotent: boolean,
  ) {
    this.options = {
      idempotent,
      deadlineAt: cluster.now + 4_000,
      maxOffers: 3,
      maxAttempts: 3,
      progressTimeoutMs: 300,
      reconnectTimeoutMs: 400,
      routeTimeoutMs: 300,
      crashes: 0,
      resumeIndex: 0,
    };
    const started = callMachine.start(this.options, cluster.now);
    this.state = started.state;
    started.commands.forEach(command => this.execute(command));
  }

  step(event: CallEvent): void {
    const {now} = this.cluster;
    const next = callMachine.step(this.state, event, this.options, now);
    this.state = next.state;
    next.commands.forEach(command => this.execute(command));
  }

  private execute(command: CallCommand): void {
    switch (command.type) {
      case 'route':
        return this.route(command.exclude);
      case 'open': {
        const {agentId, attemptId, resumeIndex} = command;
        return this.cluster.toAgent(agentId, agent =>
          agent.open(attemptId, this, resumeIndex),
        );
      }
      case 'attach': {
        const {agentId, attemptId, from} = command;
        return this.cluster.toAgent(agentId, agent =>
          agent.attach(attemptId, this, from),
        );
      }
      case 'cancel': {
        const {agentId, attemptId} = command;
        return this.cluster.toAgent(agentId, agent => agent.cancel(attemptId));
      }
      case 'emit':
        this.emitted += command.texts.length;
        return;
      case 'complete':
        this.hasEnded = true;
        return;
      case 'fail':
        this.hasEnded = true;
        this.failure = command.failure;
        return;
    }
  }

  private route(exclude: readonly string[]): void {
    const agents = this.cluster.agents.filter(
      ({id, linked}) => linked && !exclude.includes(id),
    );
    const agent = agents[this.cluster.pick(agents.length)];
    if (!agent) {
      const failure = createFailure('no-backend-server', 'none');
      return this.step({type: 'not-routed', failure});
    }
    this.attemptCount += 1;
    this.step({
      type: 'routed',
      agentId: agent.id,
      agentIncarnation: String(agent.incarnation),
      attemptId: `${this.id}.${this.attemptCount}`,
    });
  }
}

/** An agent with the real scheduler and a simulated engine that may crash. */
class Agent {
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

  open(attemptId: string, call: Call, from: number): void {
    if (this.attempts.has(attemptId)) return;
    this.attempts.set(attemptId, {call, from, next: from, state: 'queued'});
    const offered = schedulerFixture.call(attemptId, {
      arrivedAt: this.cluster.now,
      deadlineAt: this.cluster.now + 4_000,
    });
    this.stepScheduler({type: 'offer', call: offered, weight: 1});
  }

  attach(attemptId: string, call: Call, from: number): void {
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

  private tell(call: Call, event: CallEvent): void {
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

/** Simulates entries and agents on a virtual clock and a given random source. */
export class Cluster {
  now = 0;
  readonly agents: readonly Agent[];
  readonly calls: Call[] = [];
  private readonly queues = new Map<string, Message[]>();

  constructor(private readonly random: () => number) {
    this.agents = ['a', 'b', 'c'].map(id => new Agent(id, this));
    this.agents.forEach(({id}) => this.queues.set(id, []));
  }

  /** Returns a random integer from 0 to `count - 1`. */
  pick(count: number): number {
    return Math.floor(this.random() * count);
  }

  toAgent(id: string, act: (agent: Agent) => void): void {
    const agent = this.agents.find(known => known.id === id);
    if (agent) this.send(agent, () => act(agent));
  }

  toEntry(id: string, message: Message): void {
    const agent = this.agents.find(known => known.id === id);
    if (agent) this.send(agent, message);
  }

  start(idempotent: boolean): void {
    this.calls.push(new Call(`r${this.calls.length}`, this, idempotent));
  }

  /** Delivers the oldest message on an agent's link. */
  deliver(agent: Agent): void {
    this.queues.get(agent.id)?.shift()?.();
  }

  setLink(agent: Agent, linked: boolean): void {
    if (agent.linked === linked) return;
    agent.linked = linked;
    this.queues.set(agent.id, []);
    const agentId = agent.id;
    const agentIncarnation = String(agent.incarnation);
    this.calls.forEach(call =>
      call.step(
        linked
          ? {type: 'link-up', agentId, agentIncarnation}
          : {type: 'link-down', agentId},
      ),
    );
  }

  tick(ms: number): void {
    this.now += ms;
    this.agents.forEach(agent => agent.stepScheduler({type: 'tick'}));
    this.calls.forEach(call => call.step({type: 'tick'}));
  }

  /** Throws if an invariant that must hold at all times is violated. */
  check(): void {
    this.agents.forEach(({schedulerState}) => {
      if (
        schedulerState.running.size > schedulerLoad.runningLimit(schedulerState)
      ) {
        throw new Error('more calls run than the running limit allows');
      }
    });
    this.calls.forEach(({executions, options, failure}) => {
      if (!options.idempotent && executions > 1) {
        throw new Error('a non-idempotent request ran more than once');
      }
      if (failure?.ran === 'no' && executions > 0) {
        throw new Error('a request that ran was reported as "not run"');
      }
    });
  }

  /** Restores service, runs for 12 s and throws if work remains. */
  settle(): void {
    this.agents.forEach(agent => {
      agent.stepScheduler({
        type: 'server-status',
        status: schedulerFixture.status(),
      });
      this.setLink(agent, true);
    });
    for (let round = 0; round < 120; round++) {
      this.tick(100);
      this.agents.forEach(agent => {
        for (let i = 0; i < 12; i++) this.deliver(agent);
        agent.report();
        agent.generate(round);
      });
      this.check();
    }
    this.calls.forEach(({hasEnded, failure, emitted}) => {
      if (!hasEnded) throw new Error('a request has no outcome');
      if (!failure && emitted !== RESPONSE_TOKENS) {
        throw new Error('a completed response has a wrong number of tokens');
      }
    });
    this.agents.forEach(({schedulerState}) => {
      const remaining =
        schedulerState.running.size + schedulerState.queue.items.length;
      if (remaining > 0) throw new Error('an agent still holds calls');
    });
  }

  private send(agent: Agent, message: Message): void {
    if (agent.linked) this.queues.get(agent.id)?.push(message);
  }
}
