import type {AgentSettings} from 'figfall';
import {createAgent} from 'figfall';
import {runScoped} from '@figfall/task';
import {startRelay} from '../network/start_relay.js';
import type {startFakePlatform} from '../platform/start_fake_platform.js';

type FakePlatform = Awaited<ReturnType<typeof startFakePlatform>>;

/** An agent in this process that can be drained, killed and restarted. */
export class RestartableAgent {
  private running?: Awaited<ReturnType<typeof runScoped<RunningAgent>>>;

  constructor(
    private readonly platform: FakePlatform,
    readonly settings: AgentSettings,
    private readonly hasRelay: boolean,
  ) {}

  /** Relay in front of the agent, if it has one; it outlives restarts. */
  relay?: Awaited<ReturnType<typeof startRelay>>;

  /** Starts the agent and lists it as live at the platform. */
  async start(): Promise<void> {
    this.running = await runScoped(createAgent(this.settings));
    const linkPort = () => this.running?.value.linkPort ?? 0;
    if (this.hasRelay) this.relay ??= await startRelay(linkPort);
    this.platform.instances.set({
      id: this.settings.id,
      role: 'agent',
      host: '127.0.0.1',
      port: this.relay?.port ?? linkPort(),
      region: this.settings.region,
      zone: this.settings.zone,
      backendServer: this.settings.backendServer,
      state: 'live',
    });
  }

  /** Closes the agent without draining it, like a crash of its process. */
  async kill(): Promise<void> {
    await this.running?.close();
    this.running = undefined;
  }

  /** Lists the agent as leaving at the platform; the agent itself continues. */
  markLeaving(): void {
    const {platform, settings} = this;
    const instances = platform.instances.current();
    const own = instances.find(({id}) => id === settings.id);
    if (own) platform.instances.set({...own, state: 'leaving'});
  }

  /** Closes the agent and its relay. */
  async close(): Promise<void> {
    await this.kill();
    await this.relay?.close();
  }

  /** Drains the agent, closes it and removes it from the platform's list. */
  async drain(): Promise<void> {
    await this.running?.value.drain();
    await this.kill();
    this.platform.instances.remove(this.settings.id);
  }
}

interface RunningAgent {
  readonly linkPort: number;
  readonly drain: () => Promise<void>;
}
