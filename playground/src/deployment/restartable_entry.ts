import type {EntrySettings} from 'figfall';
import {createEntry} from 'figfall';
import {runScoped} from '@figfall/task';
import type {startFakePlatform} from '../platform/start_fake_platform.js';

type FakePlatform = Awaited<ReturnType<typeof startFakePlatform>>;

interface EntryHandle {
  readonly httpPort: number;
  readonly isReady: () => boolean;
  readonly drain: () => Promise<void>;
}

/** One entry that can be stopped, killed and started again. */
export class RestartableEntry {
  private running?: Awaited<ReturnType<typeof runScoped<EntryHandle>>>;

  constructor(
    private readonly platform: FakePlatform,
    readonly settings: EntrySettings,
  ) {}

  /** Base URL for callers. */
  get baseUrl(): string {
    return `http://127.0.0.1:${this.running?.value.httpPort}`;
  }

  async start(): Promise<void> {
    this.running = await runScoped(createEntry(this.settings));
    this.platform.instances.set({
      id: this.settings.id,
      role: 'entry',
      host: '127.0.0.1',
      port: this.running.value.httpPort,
      region: this.settings.region,
      zone: this.settings.zone,
      state: 'live',
    });
  }

  isReady(): boolean {
    return this.running?.value.isReady() ?? false;
  }

  /** Ends the entry at once, as a crash of its process would. */
  async kill(): Promise<void> {
    await this.running?.close();
    this.running = undefined;
  }

  /** Shuts the entry down gracefully. */
  async drain(): Promise<void> {
    await this.running?.value.drain();
    await this.kill();
    this.platform.instances.remove(this.settings.id);
  }
}
