import {schedulerLoad} from '../scheduler/scheduler_load.js';
import {ClusterAgent} from './cluster_agent.js';
import {ClusterCall} from './cluster_call.js';
import {RESPONSE_TOKENS} from './response_tokens.js';
import {schedulerFixture} from './scheduler_fixture.js';

/** Delivers one message of a link. */
type Message = () => void;

/** Simulates entries and agents on a virtual clock and a given random source. */
export class Cluster {
  now = 0;
  readonly agents: readonly ClusterAgent[];
  readonly calls: ClusterCall[] = [];
  private readonly queues = new Map<string, Message[]>();

  constructor(private readonly random: () => number) {
    this.agents = ['a', 'b', 'c'].map(id => new ClusterAgent(id, this));
    this.agents.forEach(({id}) => this.queues.set(id, []));
  }

  /** Returns a random integer from 0 to `count - 1`. */
  pick(count: number): number {
    return Math.floor(this.random() * count);
  }

  toAgent(id: string, act: (agent: ClusterAgent) => void): void {
    const agent = this.agents.find(known => known.id === id);
    if (agent) this.send(agent, () => act(agent));
  }

  toEntry(id: string, message: Message): void {
    const agent = this.agents.find(known => known.id === id);
    if (agent) this.send(agent, message);
  }

  start(idempotent: boolean): void {
    this.calls.push(new ClusterCall(`r${this.calls.length}`, this, idempotent));
  }

  /** Delivers the oldest message on an agent's link. */
  deliver(agent: ClusterAgent): void {
    this.queues.get(agent.id)?.shift()?.();
  }

  setLink(agent: ClusterAgent, linked: boolean): void {
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

  private send(agent: ClusterAgent, message: Message): void {
    if (agent.linked) this.queues.get(agent.id)?.push(message);
  }
}
