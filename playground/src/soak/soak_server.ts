import {
  FakeBackendServer,
  fakeStoreObjects,
} from '@figfall/gateway-server/testing';
import type {
  BackendArrival,
  BackendRun,
  NoticeResponse,
  RequestExecution,
} from '@figfall/gateway-server/testing';
import {startRelay} from '../network/start_relay.js';

interface SoakServerOptions {
  readonly name: string;
  readonly kind: 'model' | 'plain';
  readonly zone: string;
  /** Returns monotonic time in milliseconds. */
  readonly now: () => number;
  readonly onExecution: (execution: RequestExecution) => void;
  readonly onArrival: (arrival: BackendArrival) => void;
  readonly onRunEnd: (run: BackendRun) => void;
  readonly onNotice: (notice: NoticeResponse) => void;
  /** True if a prompt with these parts crashes a model engine. */
  readonly crashesOn: (promptParts: string) => boolean;
  /** True if it keeps its request rate to itself. */
  readonly hidesLimit: boolean;
  /** Writes the store's entry of a server. */
  readonly putEntry: (serverId: string, entry: object) => void;
  /** Removes the store's entry of a server. */
  readonly removeEntry: (serverId: string) => void;
}

type Relay = Awaited<ReturnType<typeof startRelay>>;

const SLOTS = 8;

/** Time after its start in which a server is cold. */
const COLD_MS = 800;

/** Time until a server is up again that has crashed under a prompt. */
const RESTART_MS = 1_500;

/** Time from the start of draining until a server exits. */
const DRAIN_MS = 2_500;

/**
 * A fake backend server with its entry in the store and a relay in front of
 * it. Each start gets a new server ID; the port of the relay stays.
 */
export class SoakServer {
  private readonly fakeServer: FakeBackendServer;
  private startedRelay?: Relay;
  private incarnation = 0;
  private isDraining = false;

  constructor(private readonly options: SoakServerOptions) {
    this.fakeServer = new FakeBackendServer({
      kind: options.kind,
      slots: SLOTS,
      tokensPerMs: 200,
      kvCacheTokens: 100_000,
      now: options.now,
      onExecution: options.onExecution,
      onArrival: options.onArrival,
      onRunEnd: options.onRunEnd,
      onNotice: options.onNotice,
      hidesLimit: options.hidesLimit,
      crashesOn: parts => this.crashOn(parts),
    });
  }

  /** Throws before the first start. */
  get relay(): Relay {
    if (!this.startedRelay) {
      throw new Error(`Backend server ${this.options.name} has not started.`);
    }
    return this.startedRelay;
  }

  get backend(): FakeBackendServer {
    return this.fakeServer;
  }

  /** Starts the server unless it is up, and lists it in the store. */
  async start(): Promise<void> {
    const {removeEntry, name} = this.options;
    if (this.fakeServer.isUp()) return;
    if (this.incarnation > 0) removeEntry(this.fakeServer.serverId);
    this.incarnation += 1;
    this.isDraining = false;
    await this.fakeServer.start(`${name}-${this.incarnation}`);
    this.startedRelay ??= await startRelay(() => this.fakeServer.port);
    this.publishEntry(false);
  }

  /** Starts the server; one that drains or leaves ends at once. */
  async recover(): Promise<void> {
    if (this.isDraining) await this.crash();
    await this.start();
  }

  /** Ends the server and leaves its entry in the store. */
  async crash(): Promise<void> {
    this.isDraining = false;
    await this.fakeServer.crash();
  }

  /**
   * Lists the server as draining and ends it later. Returns its ID, or
   * undefined if it is down or draining already.
   */
  drain(): string | undefined {
    if (!this.endLater()) return undefined;
    this.publishEntry(true);
    return this.fakeServer.serverId;
  }

  /** Ends the server later, and says so only in its responses. */
  leave(): void {
    if (this.endLater()) this.fakeServer.startLeaving();
  }

  /** Resets the open connections of the server; new ones work. */
  resetConnections(): void {
    this.fakeServer.breakOffAll();
    this.relay.resetConnections();
  }

  private crashOn(promptParts: string): boolean {
    if (!this.options.crashesOn(promptParts)) return false;
    this.isDraining = false;
    setTimeout(() => void this.start(), RESTART_MS);
    return true;
  }

  /** Ends the server after its drain; false if it is down or draining. */
  private endLater(): boolean {
    if (!this.fakeServer.isUp() || this.isDraining) return false;
    this.isDraining = true;
    const {serverId} = this.fakeServer;
    setTimeout(() => {
      const isSameDrain =
        this.isDraining && this.fakeServer.serverId === serverId;
      if (isSameDrain) void this.crash();
    }, DRAIN_MS);
    return true;
  }

  /** Ends the server and its relay. */
  async close(): Promise<void> {
    await this.fakeServer.crash();
    await this.startedRelay?.close();
  }

  private publishEntry(isDraining: boolean): void {
    const {kind, zone, putEntry} = this.options;
    const entry = fakeStoreObjects.server({
      service: kind,
      port: this.relay.port,
      zone,
      slots: SLOTS,
      isDraining,
      coldMs: isDraining ? 0 : COLD_MS,
      bornAt: Date.now(),
    });
    putEntry(this.fakeServer.serverId, entry);
  }
}
