import {
  FakeBackendServer,
  fakeStoreObjects,
} from '@figfall/gateway-server/testing';
import type {RequestExecution} from '@figfall/gateway-server/testing';
import {startRelay} from '../network/start_relay.js';

interface SoakServerOptions {
  readonly name: string;
  readonly kind: 'model' | 'plain';
  readonly zone: string;
  readonly now: () => number;
  readonly onRun: (run: RequestExecution) => void;
  readonly put: (name: string, entry: object) => void;
  readonly remove: (name: string) => void;
}

type Relay = Awaited<ReturnType<typeof startRelay>>;

const SLOTS = 8;

/** Milliseconds for which a started server is cold. */
const COLD_MS = 800;

/** Milliseconds for which a server that leaves goes on serving. */
const DRAIN_MS = 2_500;

/** A backend server with its entry in the store and its relay. */
export class SoakServer {
  private readonly replica: FakeBackendServer;
  private relay?: Relay;
  private incarnation = 0;
  private isLeaving = false;

  constructor(private readonly options: SoakServerOptions) {
    this.replica = new FakeBackendServer({
      kind: options.kind,
      slots: SLOTS,
      tokensPerMs: 200,
      kvCacheTokens: 100_000,
      now: options.now,
      onExecution: options.onRun,
    });
  }

  get link(): Relay {
    if (!this.relay) throw new Error(`${this.options.name} is not started.`);
    return this.relay;
  }

  get stand(): FakeBackendServer {
    return this.replica;
  }

  async start(): Promise<void> {
    const {remove, name} = this.options;
    if (this.replica.isUp()) return;
    if (this.incarnation > 0) remove(this.replica.serverId);
    this.incarnation += 1;
    this.isLeaving = false;
    await this.replica.start(`${name}-${this.incarnation}`);
    this.relay ??= await startRelay(() => this.replica.port);
    this.list(false);
  }

  async crash(): Promise<void> {
    this.isLeaving = false;
    await this.replica.crash();
  }

  /** Leaves as planned; returns its id at once. */
  leave(): string | undefined {
    if (!this.replica.isUp() || this.isLeaving) return undefined;
    this.isLeaving = true;
    const {serverId} = this.replica;
    this.list(true);
    setTimeout(() => {
      const isSame = this.isLeaving && this.replica.serverId === serverId;
      if (isSame) void this.crash();
    }, DRAIN_MS);
    return serverId;
  }

  async close(): Promise<void> {
    await this.replica.crash();
    await this.relay?.close();
  }

  private list(isDraining: boolean): void {
    const {kind, zone, put} = this.options;
    const entry = fakeStoreObjects.server({
      service: kind,
      port: this.link.port,
      zone,
      slots: SLOTS,
      isDraining,
      coldMs: isDraining ? 0 : COLD_MS,
      bornAt: Date.now(),
    });
    put(this.replica.serverId, entry);
  }
}
