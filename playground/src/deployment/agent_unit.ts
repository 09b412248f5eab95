import type {AgentSettings} from 'figfall';
import {createAgent} from 'figfall';
import {runScoped} from '@figfall/task';
import type {startPlatform} from '../platform/start_platform.js';

type StandInPlatform = Awaited<ReturnType<typeof startPlatform>>;

/** One agent that can be stopped, killed and started again. */
export class AgentUnit {
  private running?: Awaited<ReturnType<typeof runScoped<AgentHandle>>>;

  constructor(
    private readonly platform: StandInPlatform,
    readonly settings: AgentSettings,
  ) {}

  async start(): Promise<void> {
    this.running = await runScoped(createAgent(this.settings));
    this.platform.instances.set({
      id: this.settings.id,
      role: 'agent',
      host: '127.0.0.1',
      port: this.running.value.linkPort,
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
