import type {ServingConfig, WorkChange} from '@figfall/decisions';
import {
  Fleet,
  GATEWAY,
  GatewayCore,
  createGatewayMetrics,
} from '@figfall/gateway';
import type {BackendClient} from '@figfall/gateway';
import {createRandom} from '../random/create_random.js';
import {LimitedServer} from './limited_server.js';
import {VirtualClock} from './virtual_clock.js';

interface DeploymentOptions {
  readonly gateways: number;
  /** Requests a second that each server names; undefined for none. */
  readonly limits: readonly (number | undefined)[];
  /** @default 1 */
  readonly seed?: number;
}

/** What became of a caller's request. */
interface LimitedOutcome {
  readonly workspace: string;
  readonly route: string;
  readonly sentAt: number;
  readonly endedAt: number;
  readonly result: 'answered' | 'refused' | 'failed';
  readonly retryAfterMs?: number;
}

interface LimitedRequest {
  /** Index of the gateway. */
  readonly gateway: number;
  /** @default 'lindenau' */
  readonly workspace?: string;
  /** @default 'read' */
  readonly route?: 'read' | 'book';
}

/** One-way network delay between machines, in milliseconds. */
const ONE_WAY_DELAY_MS = 0.5;

/** Milliseconds that callers wait. */
const TIMEOUT_MS = 4_000;

const SERVICE = 'plain';

const SILENT_LOGGER = {
  debug: () => undefined,
  info: () => undefined,
  warn: () => undefined,
  error: () => undefined,
};

const ROUTE = {
  host: 'limited',
  resumable: false,
  trafficSplit: [{service: SERVICE, weight: 1}],
  maxAttempts: 2,
  timeoutMs: TIMEOUT_MS,
  latencyTargetMs: 400,
  pauseMs: 250,
  isPublic: false,
};

const WORKSPACES = ['lindenau', 'werk', 'sued'];

const CONFIG: ServingConfig = {
  version: 1,
  routes: [
    {...ROUTE, name: 'read', pathPrefix: '/read/', kind: 'idempotent'},
    {...ROUTE, name: 'book', pathPrefix: '/book/', kind: 'non-idempotent'},
  ],
  services: new Map([[SERVICE, {name: SERVICE, coldRequestsPerSecond: 0}]]),
  workspaceByKey: new Map(WORKSPACES.map(name => [name, name])),
  limits: {maxBodyBytes: 1_000, headerTimeoutMs: 1_000, idleTimeoutMs: 1_000},
};

/** A gateway of the deployment. */
interface Node {
  readonly fleet: Fleet;
  readonly core: GatewayCore;
  /** True while it is cut off from the other gateways. */
  isCut: boolean;
}

/**
 * Gateways before plain backend servers that name the request rates they take,
 * in virtual time. Callers neither retry nor leave.
 */
export class LimitedDeployment {
  readonly clock = new VirtualClock();
  readonly servers: readonly LimitedServer[];
  readonly outcomes: LimitedOutcome[] = [];
  private readonly nodes: Node[];
  private readonly random: () => number;
  private requestCount = 0;

  constructor({gateways, limits, seed = 1}: DeploymentOptions) {
    this.random = createRandom(seed);
    this.servers = limits.map(
      (perSecond, i) =>
        new LimitedServer({id: `server-${i}`, service: SERVICE, perSecond}),
    );
    this.nodes = Array.from({length: gateways}, (_, i) => this.startNode(i));
    this.nodes.forEach((_, i) => this.tick(i));
  }

  /** Sends one request of a caller now. */
  send({
    gateway,
    workspace = 'lindenau',
    route = 'read',
  }: LimitedRequest): void {
    const sentAt = this.clock.now();
    const end = (
      result: LimitedOutcome['result'],
      retryAfterMs?: number,
    ): void => {
      const endedAt = this.clock.now();
      const outcome = {workspace, route, sentAt, endedAt, result, retryAfterMs};
      this.outcomes.push(outcome);
    };
    this.requestCount += 1;
    this.nodes[gateway]?.core.serve(
      {
        requestId: `r${this.requestCount}`,
        method: 'GET',
        host: ROUTE.host,
        target: `/${route}/`,
        headers: [],
        body: Buffer.alloc(0),
        apiKey: workspace,
        timeoutMs: TIMEOUT_MS,
        arrivedAt: sentAt,
      },
      {
        sendResponse: () => end('answered'),
        startStream: () => undefined,
        writeEvents: () => true,
        endStream: () => undefined,
        fail: ({ran, retryAfterMs}) =>
          end(ran === 'no' ? 'refused' : 'failed', retryAfterMs),
      },
    );
  }

  /** Sends `perSecond` requests a second, evenly, over a span in ms. */
  sendEvenly(
    perSecond: number,
    {from, to}: {readonly from: number; readonly to: number},
    requestOf: (index: number) => LimitedRequest,
  ): void {
    const count = Math.floor(((to - from) / 1_000) * perSecond);
    Array.from({length: count}, (_, i) =>
      this.at(from + (i / perSecond) * 1_000, () => this.send(requestOf(i))),
    );
  }

  /** Calls a function at a time in milliseconds. */
  at(time: number, run: () => void): void {
    this.clock.schedule(time - this.clock.now(), run);
  }

  /** Publishes the listings of all servers to all gateways. */
  publishServers(): void {
    const listings = this.servers.map(server => server.listing());
    this.nodes.forEach(({core}) => core.setServers(listings));
  }

  private startNode(index: number): Node {
    const name = `gateway-${index}`;
    const now = this.clock.now;
    const fleet = new Fleet({
      owner: name,
      zone: 'nord',
      random: this.random,
      now,
      onAvoided: () => undefined,
      onLimit: () => undefined,
      onPartBlocked: () => undefined,
      announce: change => this.announce(index, change),
    });
    const core = new GatewayCore({
      fleet,
      client: this.createClient(index, fleet),
      logger: SILENT_LOGGER,
      metrics: createGatewayMetrics(name),
      random: this.random,
      now,
      retry: {ratio: 0.2, slack: 100},
    });
    core.applyConfig(CONFIG);
    core.setServers(this.servers.map(server => server.listing()));
    return {fleet, core, isCut: false};
  }

  private tick(index: number): void {
    this.nodes[index]?.core.tick();
    this.clock.schedule(GATEWAY.TICK_MS, () => this.tick(index));
  }

  /** Delivers a message to the other gateways, unless a cut is between. */
  private toOthers(from: number, deliver: (to: Node) => void): void {
    const sender = this.nodes[from];
    this.clock.schedule(ONE_WAY_DELAY_MS + GATEWAY.WORK_BATCH_MS / 2, () =>
      this.nodes
        .filter((node, i) => i !== from && !node.isCut && !sender?.isCut)
        .forEach(deliver),
    );
  }

  private announce(from: number, change: WorkChange): void {
    this.toOthers(from, ({fleet}) =>
      fleet.applyRemoteChange(change, `gateway-${from}`),
    );
  }

  private createClient(gateway: number, fleet: Fleet): BackendClient {
    return {
      send: (req, onEvent) => {
        const askedAt = this.clock.now();
        const server = this.servers.find(
          other => other.listing().id === req.server.id,
        );
        let isCancelled = false;
        this.clock.schedule(0, () => onEvent({type: 'sent'}));
        this.clock.schedule(ONE_WAY_DELAY_MS, () =>
          server?.arrive({at: this.clock.now(), gateway}),
        );
        const totalMs = 2 * ONE_WAY_DELAY_MS + (server?.serviceMs ?? 0);
        this.clock.schedule(totalMs, () => {
          if (isCancelled || !server) return;
          const rateLimit = server.notice();
          const notice = {isLeaving: false, pauseMs: 0, rateLimit, askedAt};
          fleet.recordNotice(req.server, notice);
          const head = {status: 200, headers: [], isCloseDelimited: false};
          onEvent({type: 'response', head, body: Buffer.alloc(0)});
        });
        return {
          cancel: () => {
            isCancelled = true;
          },
          pause: () => undefined,
          resume: () => undefined,
        };
      },
      reserve: () => Promise.resolve('granted'),
      release: () => Promise.resolve(),
      check: () => Promise.resolve({isResponding: true}),
      pruneConnections: () => undefined,
    };
  }
}
