import type {EntrySettings} from 'figfall';
import {createEntry} from 'figfall';
import {runScoped} from '@figfall/task';
import type {startFakePlatform} from '../platform/start_fake_platform.js';

type FakePlatform = Awaited<ReturnType<typeof startFakePlatform>>;

interface RunningEntry {
  readonly httpPort: number;
  readonly isReady: () => boolean;
  readonly drain: () => Promise<void>;
}

/** An entry in this process that can be drained, killed and restarted. */
export class RestartableEntry {
  private running?: Awaited<ReturnType<typeof runScoped<RunningEntry>>>;

  constructor(
    private readonly platform: FakePlatform,
    readonly settings: EntrySettings,
  ) {}

  /** Base URL for callers; a restart may change its port. */
  get baseUrl(): string {
    return `http://127.0.0.1:${this.running?.value.httpPort}`;
  }

  /** Starts the entry and lists it as live at the platform. */
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

  /** False while the entry is not running. */
  isReady(): boolean {
    return this.running?.value.isReady() ?? false;
  }

  /** Closes the entry without draining it, like a crash of its process. */
  async kill(): Promise<void> {
    await this.running?.close();
    this.running = undefined;
  }

  /** Drains the entry, closes it and removes it from the platform's list. */
  async drain(): Promise<void> {
    await this.running?.value.drain();
    await this.kill();
    this.platform.instances.remove(this.settings.id);
  }
}
