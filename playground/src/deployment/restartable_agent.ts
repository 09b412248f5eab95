import type {AgentSettings} from 'figfall';
import {createAgent} from 'figfall';
import {runScoped} from '@figfall/task';
import {startRelay} from '../network/start_relay.js';
import type {startFakePlatform} from '../platform/start_fake_platform.js';

type FakePlatform = Awaited<ReturnType<typeof startFakePlatform>>;

/** One agent that can be stopped, killed and started again. */
export class RestartableAgent {
  private running?: Awaited<ReturnType<typeof runScoped<AgentHandle>>>;

  constructor(
    private readonly platform: FakePlatform,
    readonly settings: AgentSettings,
    private readonly hasRelay: boolean,
  ) {}

  /** Relay before the agent, where it has one. */
  relay?: Awaited<ReturnType<typeof startRelay>>;

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

  /** Ends the agent at once, as a crash of its process would. */
  async kill(): Promise<void> {
    await this.running?.close();
    this.running = undefined;
  }

  /** Shows the agent as leaving in the platform's list. */
  markLeaving(): void {
    const {platform, settings} = this;
    const listed = platform.instances.current();
    const own = listed.find(({id}) => id === settings.id);
    if (own) platform.instances.set({...own, state: 'leaving'});
  }

  /** Ends the agent and its relay for good. */
  async close(): Promise<void> {
    await this.kill();
    await this.relay?.close();
  }

  /** Shuts the agent down gracefully. */
  async drain(): Promise<void> {
    await this.running?.value.drain();
    await this.kill();
    this.platform.instances.remove(this.settings.id);
  }
}

interface AgentHandle {
  readonly linkPort: number;
  readonly drain: () => Promise<void>;
}
