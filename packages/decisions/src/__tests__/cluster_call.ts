import type {CallCommand} from '../calls/call_command.js';
import type {CallEvent} from '../calls/call_event.js';
import {callMachine} from '../calls/call_machine.js';
import type {CallOptions} from '../calls/call_options.js';
import {createFailure} from '../errors/create_failure.js';
import type {Failure} from '../errors/failure.js';
import type {Cluster} from './cluster.js';

/** One request at an entry, run by the real call machine. */
export class ClusterCall {
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
      resumeTimeoutMs: 300,
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
