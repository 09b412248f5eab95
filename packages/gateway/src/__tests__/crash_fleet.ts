import fc from 'fast-check';
import {CrashingServer} from './crashing_server.js';
import {culpritOf} from './culprit_of.js';
import {FleetLinks} from './fleet_links.js';
import {gatewayFixture} from './gateway_fixture.js';
import type {SimulatedRequest} from './simulated_request.js';

type Fixture = ReturnType<typeof gatewayFixture>;
type Attempt = Fixture['attempts'][number];

interface CrashFleetOptions {
  readonly seed: number;
  readonly gateways: number;
  readonly servers: number;
  readonly identity: ConstructorParameters<typeof CrashingServer>[1];
  /**
   * Paths that crash a server, also with more after them, by milliseconds from
   * sending to the crash.
   */
  readonly culprits: Readonly<Record<string, number>>;
}

interface RunningAttempt {
  readonly gateway: number;
  readonly attempt: Attempt;
  readonly server: CrashingServer;
  readonly sentAt: number;
  events: number;
}

const STEP_MS = 10;
const START_MS = 1_000;

/** Milliseconds from sending a request to its first event. */
const FIRST_EVENT_MS = 40;
const EVENT_INTERVAL_MS = 50;
const EVENTS = 20;

/** Number of values that a draw may have. */
const DRAWS_MAX = 2 ** 30;

const HEAD = {status: 200, headers: []};

const PROMPT = {promptTokens: 900, outputTokens: 50};

/**
 * Gateways before servers that some requests crash, in virtual time. A crash takes
 * all requests that the server ran. What gateways tell each other arrives a step
 * later, unless they are cut off.
 */
export class CrashFleet {
  readonly random: () => number;
  /** Crashes of servers; `path` is that of the culprit, if there was one. */
  readonly crashes: {readonly at: number; readonly path?: string}[] = [];
  /** Requests of culprits that were sent to servers. */
  readonly culpritSends: {readonly at: number; readonly path: string}[] = [];
  now = START_MS;
  readonly links = new FleetLinks();
  private culprits: Readonly<Record<string, number>>;
  private readonly gateways: Fixture[];
  private readonly servers: CrashingServer[];
  private running: RunningAttempt[] = [];
  private requests = 0;

  constructor(private readonly options: CrashFleetOptions) {
    const draws = fc.sample(
      fc.noBias(fc.integer({min: 0, max: DRAWS_MAX - 1})),
      {
        seed: options.seed,
        numRuns: 997,
      },
    );
    let drawn = 0;
    this.random = () => (draws[(drawn += 1) % draws.length] ?? 0) / DRAWS_MAX;
    this.culprits = options.culprits;
    this.servers = Array.from(
      {length: options.servers},
      (_, index) => new CrashingServer(index, options.identity),
    );
    this.gateways = Array.from({length: options.gateways}, (_, i) =>
      this.startGateway(i),
    );
    this.list();
  }

  /** Sends a request at a gateway; with shared parts, it is a prompt. */
  send(
    gateway: number,
    path: string,
    sharedParts?: readonly string[],
  ): SimulatedRequest {
    const requestId = `r${(this.requests += 1)}`;
    const {serve} = this.gateways[gateway] as Fixture;
    const prompt = sharedParts && {...PROMPT, sharedParts};
    const {received} = serve(path, {requestId, ...(prompt && {prompt})});
    this.collect();
    return {path, received};
  }

  /** Makes all requests sound, as if the servers were mended. */
  mend(): void {
    this.culprits = {};
  }

  /**
   * Replaces a gateway by a new process, which links with each of the others
   * within some milliseconds, in each direction by itself.
   */
  restart(gateway: number, {linkMs = 0} = {}): void {
    const fresh = this.startGateway(gateway);
    this.running = this.running.filter(run => run.gateway !== gateway);
    this.gateways[gateway] = fresh;
    const delayMs = () => Math.floor(this.random() * linkMs);
    const openAt = () => this.now + (linkMs === 0 ? 0 : delayMs());
    this.links.reopen(gateway, this.gateways.length, openAt);
    this.link();
    this.list();
  }

  /** Opens the links that are due; each begins with what its receiver lacks. */
  private link(): void {
    this.links
      .takeDue(this.now)
      .forEach(({from, to}) =>
        this.gateways[from]?.fleet
          .changesForNewPeer()
          .forEach(change =>
            this.gateways[to]?.fleet.applyRemoteChange(change, `g${from}`),
          ),
      );
  }

  /** Crashes a server without a culprit. */
  crashServer(index: number): void {
    const server = this.servers[index];
    if (server?.isUp()) this.crash(server);
  }

  /** Runs until a time, calling `onStep` before each step. */
  runUntil(endMs: number, onStep: () => void = () => undefined): void {
    while (this.now < endMs) {
      onStep();
      this.step();
    }
  }

  /** Whether a step is the first one of an interval. */
  isDue(intervalMs: number, offsetMs = 0): boolean {
    return (this.now - START_MS + offsetMs) % intervalMs < STEP_MS;
  }

  private startGateway(index: number): Fixture {
    const started = gatewayFixture([], {
      random: this.random,
      retry: {ratio: 1, slack: 1_000},
      gatewayId: `g${index}`,
    });
    started.clock.now = this.now;
    return started;
  }

  private step(): void {
    this.now += STEP_MS;
    this.restartServers();
    this.forward();
    this.link();
    this.gateways.forEach(({clock}) => (clock.now = this.now));
    [...this.running].forEach(run => this.advance(run));
    this.gateways.forEach(({core}) => core.tick());
    if (this.isDue(1_000)) this.gateways.forEach(({fleet}) => fleet.prune());
    this.collect();
  }

  private forward(): void {
    const sent = this.gateways.map(({announced}) => announced.splice(0));
    sent.forEach((changes, from) =>
      this.gateways.forEach(({fleet}, to) => {
        if (from === to || !this.links.isOpen({from, to})) return;
        changes.forEach(change => fleet.applyRemoteChange(change, `g${from}`));
      }),
    );
  }

  /** Takes over attempts that gateways have sent. */
  private collect(): void {
    this.gateways.forEach(({attempts}, gateway) =>
      attempts.splice(0).forEach(attempt => this.accept(gateway, attempt)),
    );
  }

  private accept(gateway: number, attempt: Attempt): void {
    const server = this.servers.find(({id}) => id === attempt.req.server.id);
    if (attempt.cancelled) return;
    if (!server?.isUp()) return attempt.emit(this.unreachable());
    const path = culpritOf(this.options.culprits, attempt.req.target);
    if (path) this.culpritSends.push({at: this.now, path});
    const run = {gateway, attempt, server, sentAt: this.now, events: 0};
    this.running.push(run);
    attempt.emit({type: 'sent'});
  }

  private unreachable() {
    const failure = {kind: 'server-out', message: 'down', ran: 'no'} as const;
    return {type: 'refused', failure, unreachable: true} as const;
  }

  private advance(run: RunningAttempt): void {
    const {attempt, server} = run;
    if (!this.running.includes(run)) return;
    if (attempt.cancelled) return this.remove(run);
    const heldMs = this.now - run.sentAt;
    const due = Math.floor((heldMs - FIRST_EVENT_MS) / EVENT_INTERVAL_MS) + 1;
    const first = (attempt.req.lastEventId ?? 0) + 1;
    const culprit = culpritOf(this.culprits, attempt.req.target);
    const last = culprit ? Infinity : EVENTS - first + 1;
    while (run.events < Math.min(due, last)) {
      if (run.events === 0) attempt.emit({type: 'head', head: HEAD});
      const id = first + run.events;
      run.events += 1;
      attempt.emit({type: 'events', firstId: id, texts: [`id: ${id}\n\n`]});
    }
    if (culprit && heldMs >= (this.culprits[culprit] ?? Infinity)) {
      return this.crash(server, culprit);
    }
    if (due <= last) return;
    this.remove(run);
    attempt.emit({type: 'end'});
  }

  private remove(run: RunningAttempt): void {
    this.running = this.running.filter(other => other !== run);
  }

  private crash(server: CrashingServer, path?: string): void {
    this.crashes.push({at: this.now, path});
    server.crash(this.now);
    const lost = this.running.filter(run => run.server === server);
    this.running = this.running.filter(run => run.server !== server);
    lost.forEach(({attempt}) =>
      attempt.emit({type: 'failed', reason: 'reset'}),
    );
    this.list();
  }

  private restartServers(): void {
    const restarted = this.servers.filter(server =>
      server.restartIfDue(this.now),
    );
    if (restarted.length > 0) this.list();
  }

  private list(): void {
    const listed = this.servers
      .filter(server => server.isUp())
      .map(server => server.listed());
    this.gateways.forEach(({core}) => core.setServers(listed));
  }
}
