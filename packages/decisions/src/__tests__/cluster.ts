import type {CallCommand} from '../calls/call_command.js';
import type {CallEvent} from '../calls/call_event.js';
import {callMachine} from '../calls/call_machine.js';
import type {CallOptions} from '../calls/call_options.js';
import {createFailure} from '../errors/create_failure.js';
import type {Failure} from '../errors/failure.js';
import {door} from '../door/door.js';
import type {DoorCommand} from '../door/door_command.js';
import type {DoorEvent} from '../door/door_event.js';
import {doorLoad} from '../door/door_load.js';
import {doorFixture} from './door_fixture.js';

const TOKENS = 3;
const OPTIONS = doorFixture.options({warmRunning: 4, coldRunning: 1});

type Message = () => void;

interface Attempt {
  readonly call: Call;
  readonly from: number;
  next: number;
  state: 'queued' | 'running' | 'done' | 'failed';
}

/** One request at an entry, over the real call machine. */
class Call {
  private state;
  readonly options: CallOptions;
  emitted = 0;
  executions = 0;
  failure?: Failure;
  hasEnded = false;
  private attempts = 0;

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
    this.attempts += 1;
    this.step({
      type: 'routed',
      agentId: agent.id,
      agentIncarnation: String(agent.incarnation),
      attemptId: `${this.id}.${this.attempts}`,
    });
  }
}

/** An agent with the real door and an engine that may crash. */
class Agent {
  incarnation = 1;
  engine = 1;
  linked = true;
  state = door.create(doorFixture.condition(), OPTIONS, 0);
  private attempts = new Map<string, Attempt>();

  constructor(
    readonly id: string,
    private readonly cluster: Cluster,
  ) {}

  door(event: DoorEvent): void {
    const next = door.step(this.state, event, OPTIONS, this.cluster.now);
    this.state = next.state;
    next.commands.forEach(command => this.execute(command));
  }

  running(): string[] {
    return [...this.state.running.keys()];
  }

  open(attemptId: string, call: Call, from: number): void {
    if (this.attempts.has(attemptId)) return;
    this.attempts.set(attemptId, {call, from, next: from, state: 'queued'});
    const offered = doorFixture.call(attemptId, {
      arrivedAt: this.cluster.now,
      deadlineAt: this.cluster.now + 4_000,
    });
    this.door({type: 'offer', call: offered, weight: 1});
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
      this.tell(call, {type: 'done', attemptId, count: TOKENS});
    }
    if (attempt.state === 'failed') this.fail(attemptId, attempt);
  }

  cancel(attemptId: string): void {
    const attempt = this.attempts.get(attemptId);
    if (!attempt?.call.options.idempotent && attempt?.state === 'running') {
      return;
    }
    this.door({type: 'cancel', callId: attemptId});
  }

  /** The engine generates one token of one running call. */
  generate(choice: number): void {
    const ids = this.running();
    const attemptId = ids[choice % Math.max(1, ids.length)];
    const attempt = this.attempts.get(attemptId ?? '');
    if (!attempt) return;
    if (attempt.next === attempt.from) {
      this.door({type: 'first-token', callId: attemptId});
    }
    const index = attempt.next++;
    this.tell(attempt.call, {
      type: 'tokens',
      attemptId,
      index,
      texts: ['t'],
    });
    if (attempt.next < TOKENS) return;
    attempt.state = 'done';
    this.tell(attempt.call, {type: 'done', attemptId, count: TOKENS});
    this.door({type: 'finished', callId: attemptId, healthy: true});
  }

  crashEngine(): void {
    this.engine += 1;
    this.running().forEach(attemptId => {
      const attempt = this.attempts.get(attemptId);
      if (attempt) this.fail(attemptId, attempt);
      this.door({type: 'finished', callId: attemptId, healthy: false});
    });
    this.door({type: 'connection-lost'});
  }

  /** The agent's process restarts; its engine's work is freed. */
  restart(): void {
    this.incarnation += 1;
    this.attempts.clear();
    this.state = door.create(this.state.condition, OPTIONS, this.cluster.now);
  }

  report(): void {
    const incarnation = String(this.engine);
    this.door({type: 'load-report', incarnation, saysCold: false});
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

  private execute(command: DoorCommand): void {
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
      const {zoneIn, leaving} = this.state.condition;
      if (!zoneIn || leaving) throw new Error('dispatched while out');
      attempt.state = 'running';
      attempt.call.executions += 1;
    }
    if (command.type === 'shed') {
      this.door({type: 'cancel', callId: attemptId});
      this.fail(attemptId, attempt);
    }
  }
}

/** Entries and agents on a virtual clock and a seeded random source. */
export class Cluster {
  now = 0;
  readonly agents: readonly Agent[];
  readonly calls: Call[] = [];
  private readonly queues = new Map<string, Message[]>();

  constructor(private readonly random: () => number) {
    this.agents = ['a', 'b', 'c'].map(id => new Agent(id, this));
    this.agents.forEach(({id}) => this.queues.set(id, []));
  }

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

  /** Delivers the oldest message of one agent's link. */
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
    this.agents.forEach(agent => agent.door({type: 'tick'}));
    this.calls.forEach(call => call.step({type: 'tick'}));
  }

  /** Throws where something that must always hold does not. */
  check(): void {
    this.agents.forEach(({state}) => {
      if (state.running.size > doorLoad.runningLimit(state)) {
        throw new Error('more runs than the backend server bears');
      }
    });
    this.calls.forEach(({executions, options, failure}) => {
      if (!options.idempotent && executions > 1) {
        throw new Error('a request that may not repeat ran twice');
      }
      if (failure?.ran === 'no' && executions > 0) {
        throw new Error('"not run" is false');
      }
    });
  }

  /** Lets everything come to its end; throws where something does not. */
  settle(): void {
    this.agents.forEach(agent => {
      agent.door({type: 'condition', condition: doorFixture.condition()});
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
      if (!hasEnded) throw new Error('a request has no answer');
      if (!failure && emitted !== TOKENS) throw new Error('not whole');
    });
    this.agents.forEach(({state}) => {
      const held = state.running.size + state.queue.items.length;
      if (held > 0) throw new Error('an agent keeps work for good');
    });
  }

  private send(agent: Agent, message: Message): void {
    if (agent.linked) this.queues.get(agent.id)?.push(message);
  }
}
