import {
  permitHolder,
  permitIssuer,
  rankByRendezvous,
  serverProcessId,
} from '@figfall/decisions';
import type {
  HashFunction,
  PermitGrant,
  PermitHolderState,
  PermitIssuerState,
  PermitMessage,
  PermitRequest,
  ServerProcess,
} from '@figfall/decisions';
import type {PermitGateways} from './permit_gateways.js';

/** A server's process and the request rate that it has named. */
type LimitedServer = ServerProcess & {readonly perSecond: number};

interface RatePermitsOptions {
  /** Id of this gateway among all gateways. */
  readonly gatewayId: string;
  readonly hash: HashFunction;
  readonly now: () => number;
  /** All servers that are known to have a limit. */
  readonly limitedServers: () => readonly LimitedServer[];
  /** A server's limit in requests a second; undefined if it has none. */
  readonly limitOf: (server: ServerProcess) => number | undefined;
  /** Sends a message to a linked gateway. */
  readonly sendPermits: (gatewayId: string, message: PermitMessage) => void;
}

/** Adds an item to the list of a key. */
function append<Item>(lists: Map<string, Item[]>, key: string, item: Item) {
  lists.set(key, [...(lists.get(key) ?? []), item]);
}

/**
 * This gateway's part in sharing the request rates of servers: it holds permits
 * that it gets from the issuer of each server, and is the issuer of some.
 */
export class RatePermits {
  private gateways: PermitGateways = {linked: [], total: 1};
  private readonly holders = new Map<string, PermitHolderState>();
  private readonly issuers = new Map<string, PermitIssuerState>();
  /** Issuers by server process, for the current links. */
  private readonly issuerIds = new Map<string, string>();

  constructor(private readonly options: RatePermitsOptions) {}

  /** Sets the gateways that share the limits, after each change. */
  setGateways(gateways: PermitGateways): void {
    const hasSameLinks = gateways.linked.join() === this.gateways.linked.join();
    if (!hasSameLinks) this.issuerIds.clear();
    this.gateways = gateways;
  }

  /** Requests `count` permits of a server. */
  want(server: ServerProcess, count: number): void {
    const {now} = this.options;
    this.update(server, holder => permitHolder.want(holder, count, now()));
  }

  /** Number of requests that may be sent to a server now. */
  usable(server: ServerProcess): number {
    return permitHolder.usable(this.holder(server), this.options.now());
  }

  /** Uses a permit; a request without one counts, too. */
  take(server: ServerProcess): void {
    const {now} = this.options;
    this.update(server, holder => permitHolder.take(holder, now()));
  }

  /** Takes back the use of a permit whose request was not sent. */
  giveBack(server: ServerProcess): void {
    this.update(server, holder => permitHolder.giveBack(holder));
  }

  /** True if this gateway is the issuer of a server's permits. */
  isIssuerOf(server: ServerProcess): boolean {
    return this.findIssuer(server) === this.options.gatewayId;
  }

  /** What is known of a server's issuer and of the others that wait for it. */
  issuerOf(server: ServerProcess) {
    const {issuer, heardAt, othersWaiting, perSecond} = this.holder(server);
    return {issuer, heardAt, othersWaiting, perSecond};
  }

  /** Sends what is due to issuers, and hands out own permits that are due. */
  tick(): void {
    const servers = this.options.limitedServers();
    this.forgetUnlimited(servers);
    const requests = new Map<string, PermitRequest[]>();
    servers.forEach(server => this.collectReport(server, requests));
    const grants = new Map<string, PermitGrant[]>();
    servers.forEach(server => this.collectGrants(server, grants));
    this.sendGrants(grants);
    [...requests].forEach(([gateway, list]) =>
      this.send(gateway, {type: 'permit-requests', requests: list}),
    );
  }

  /** Handles a message of another gateway, or of this one. */
  receive(from: string, message: PermitMessage): void {
    if (message.type === 'permits') return this.onGrants(from, message.grants);
    const grants = new Map<string, PermitGrant[]>();
    message.requests.forEach(request => this.onRequest(from, request, grants));
    this.sendGrants(grants);
  }

  private onGrants(from: string, grants: readonly PermitGrant[]): void {
    const now = this.options.now();
    grants.forEach(({serverId: id, processStartedAt, ...grant}) =>
      this.update({id, processStartedAt}, holder =>
        permitHolder.receive(holder, from, grant, now),
      ),
    );
  }

  private onRequest(
    from: string,
    {serverId: id, processStartedAt, ...usage}: PermitRequest,
    grants: Map<string, PermitGrant[]>,
  ): void {
    const perSecond = this.options.limitOf({id, processStartedAt});
    // Its limit has ended, or is not known here yet.
    if (perSecond === undefined) return;
    const server = {id, processStartedAt, perSecond};
    const key = serverProcessId(server);
    const now = this.options.now();
    const before = this.issuers.get(key) ?? permitIssuer.create(now);
    const limits = this.limitsOf(server);
    const state = permitIssuer.request(before, from, usage, limits, now);
    this.issuers.set(key, state);
    this.collectGrants(server, grants, usage.waiting > 0 ? [from] : []);
  }

  private collectReport(
    server: LimitedServer,
    requests: Map<string, PermitRequest[]>,
  ): void {
    const issuer = this.findIssuer(server);
    const now = this.options.now();
    const {state, report} = permitHolder.report(
      this.holder(server),
      issuer,
      now,
    );
    this.holders.set(serverProcessId(server), state);
    const {id: serverId, processStartedAt} = server;
    if (report)
      append(requests, issuer, {serverId, processStartedAt, ...report});
  }

  /** Hands out a server's permits; the gateways `asking` get an answer anyway. */
  private collectGrants(
    server: LimitedServer,
    grants: Map<string, PermitGrant[]>,
    asking: readonly string[] = [],
  ): void {
    const key = serverProcessId(server);
    const issuer = this.issuers.get(key);
    if (!issuer) return;
    const limits = this.limitsOf(server);
    const {state, counts} = permitIssuer.issue(
      issuer,
      limits,
      this.options.now(),
    );
    this.issuers.set(key, state);
    const {id: serverId, processStartedAt} = server;
    const perSecond = permitIssuer.ratePerSecond(state, limits);
    new Set([...asking, ...counts.keys()]).forEach(gateway =>
      append(grants, gateway, {
        serverId,
        processStartedAt,
        count: counts.get(gateway) ?? 0,
        othersWaiting: permitIssuer.othersWaiting(state, gateway),
        perSecond,
      }),
    );
  }

  private sendGrants(grants: ReadonlyMap<string, readonly PermitGrant[]>) {
    [...grants].forEach(([gateway, list]) =>
      this.send(gateway, {type: 'permits', grants: list}),
    );
  }

  private send(gateway: string, message: PermitMessage): void {
    const {gatewayId, sendPermits} = this.options;
    if (gateway === gatewayId) return this.receive(gatewayId, message);
    sendPermits(gateway, message);
  }

  private limitsOf({perSecond}: LimitedServer) {
    return {perSecond, gateways: this.gateways.total};
  }

  private findIssuer(server: ServerProcess): string {
    const key = serverProcessId(server);
    const known = this.issuerIds.get(key);
    if (known !== undefined) return known;
    const {gatewayId, hash} = this.options;
    const ids = [gatewayId, ...this.gateways.linked];
    const issuer = rankByRendezvous(key, ids, hash)[0] ?? gatewayId;
    this.issuerIds.set(key, issuer);
    return issuer;
  }

  private holder(server: ServerProcess): PermitHolderState {
    return this.holders.get(serverProcessId(server)) ?? permitHolder.create();
  }

  private update(
    server: ServerProcess,
    change: (holder: PermitHolderState) => PermitHolderState,
  ): void {
    this.holders.set(serverProcessId(server), change(this.holder(server)));
  }

  /** Drops what is kept for servers that have no limit any more. */
  private forgetUnlimited(servers: readonly ServerProcess[]): void {
    const keys = new Set(servers.map(serverProcessId));
    [this.holders, this.issuers, this.issuerIds].forEach(map =>
      [...map.keys()]
        .filter(key => !keys.has(key))
        .forEach(key => map.delete(key)),
    );
  }
}
