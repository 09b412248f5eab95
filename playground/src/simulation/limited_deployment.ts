import {knownMembers} from '@figfall/decisions';
import type {WorkChange} from '@figfall/decisions';
import {
  Fleet,
  GATEWAY,
  GatewayCore,
  UNLIMITED_MEMORY,
  createGatewayMetrics,
  hashText,
} from '@figfall/gateway';
import {createRandom} from '../random/create_random.js';
import {createLimitedClient} from './create_limited_client.js';
import {LIMITED_CONFIG} from './limited_config.js';
import type {LimitedOutcome} from './limited_outcome.js';
import type {LimitedRequest} from './limited_request.js';
import {LimitedServer} from './limited_server.js';
import {SILENT_LOGGER} from './silent_logger.js';
import {VirtualClock} from './virtual_clock.js';

interface DeploymentOptions {
  readonly gateways: number;
  /** Requests a second that each server names; undefined for none. */
  readonly limits: readonly (number | undefined)[];
  /**
   * True if servers name their limits also when asked for their state.
   * @default true
   */
  readonly namesInChecks?: boolean;
  /** @default 1 */
  readonly seed?: number;
}

/** Milliseconds until a message reaches another gateway. */
const MESSAGE_DELAY_MS = 3;

/** Milliseconds between looks at which gateways are linked. */
const LINK_CHECK_MS = 1_000;

/** A gateway of the deployment. */
interface Node {
  readonly name: string;
  readonly fleet: Fleet;
  readonly core: GatewayCore;
  /** True while it is cut off from the other gateways. */
  isCut: boolean;
  /** The other gateways that share limits with it. */
  members: Parameters<typeof knownMembers.count>[0];
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

  constructor({gateways, limits, namesInChecks, seed = 1}: DeploymentOptions) {
    this.random = createRandom(seed);
    this.servers = limits.map(
      (perSecond, i) =>
        new LimitedServer({
          id: `server-${i}`,
          service: 'plain',
          perSecond,
          namesInChecks,
        }),
    );
    this.nodes = Array.from({length: gateways}, (_, i) => this.startNode(i));
    this.nodes.forEach((_, i) => this.tick(i));
    this.keepLinks();
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
        host: LIMITED_CONFIG.routes[0]?.host ?? '',
        target: `/${route}/`,
        headers: [],
        body: Buffer.alloc(0),
        apiKey: workspace,
        timeoutMs: LIMITED_CONFIG.routes[0]?.timeoutMs ?? 0,
        arrivedAt: sentAt,
        memory: UNLIMITED_MEMORY,
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

  /** Lets two gateways tell each other what a new link starts with. */
  private link(a: Node, b: Node): void {
    const tell = (from: Node, to: Node): void =>
      from.fleet
        .changesForNewPeer()
        .forEach(change => to.fleet.applyRemoteChange(change, from.name));
    tell(a, b);
    tell(b, a);
  }

  private linkToOthers(node: Node): void {
    this.nodes
      .filter(other => other !== node && !other.isCut && !node.isCut)
      .forEach(other => this.link(node, other));
    this.publishLinks();
  }

  /** Cuts a gateway off from the others, or ends the cut. */
  setCut(gateway: number, isCut: boolean): void {
    const node = this.nodes[gateway];
    if (!node) return;
    node.isCut = isCut;
    this.linkToOthers(node);
  }

  /** Replaces a gateway's process by a new one that knows nothing. */
  restart(gateway: number): void {
    const node = this.startNode(gateway);
    this.nodes[gateway] = node;
    this.linkToOthers(node);
  }

  /** Publishes the listings of all servers to all gateways. */
  publishServers(): void {
    const listings = this.servers.map(server => server.listing());
    this.nodes.forEach(({core}) => core.setServers(listings));
  }

  /** Tells each gateway which others it reaches. */
  private publishLinks(): void {
    const now = this.clock.now();
    this.nodes.forEach((node, own) => {
      const linked = this.nodes.flatMap((other, i) =>
        i === own || node.isCut || other.isCut ? [] : [other.name],
      );
      node.members = knownMembers.update(node.members, linked, now);
      const total = knownMembers.count(node.members);
      node.fleet.limits.permits.setGateways({linked, total});
    });
  }

  private keepLinks(): void {
    this.publishLinks();
    this.clock.schedule(LINK_CHECK_MS, () => this.keepLinks());
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
      onSuspect: () => undefined,
      announce: change => this.announce(index, change),
      gatewayId: name,
      hash: hashText,
      sendPermits: (to, message) =>
        this.toOthers(index, (node, i) => {
          if (`gateway-${i}` !== to) return;
          node.fleet.limits.permits.receive(name, message);
        }),
    });
    const core = new GatewayCore({
      fleet,
      client: createLimitedClient({...this, fleet, gateway: index}),
      logger: SILENT_LOGGER,
      metrics: createGatewayMetrics(name),
      random: this.random,
      now,
      retry: {ratio: 0.2, slack: 100},
    });
    core.applyConfig(LIMITED_CONFIG);
    core.setServers(this.servers.map(server => server.listing()));
    return {name, fleet, core, isCut: false, members: new Map()};
  }

  private tick(index: number): void {
    this.nodes[index]?.core.tick();
    this.clock.schedule(GATEWAY.TICK_MS, () => this.tick(index));
  }

  /** Delivers a message to the other gateways, unless a cut is between. */
  private toOthers(
    from: number,
    deliver: (to: Node, index: number) => void,
  ): void {
    const sender = this.nodes[from];
    this.clock.schedule(MESSAGE_DELAY_MS, () =>
      this.nodes.forEach((node, i) => {
        if (i !== from && !node.isCut && !sender?.isCut) deliver(node, i);
      }),
    );
  }

  private announce(from: number, change: WorkChange): void {
    this.toOthers(from, ({fleet}) =>
      fleet.applyRemoteChange(change, `gateway-${from}`),
    );
  }
}
