import {createFailure, judgeLimitWait, limitQueue} from '@figfall/decisions';
import type {BackendServer, Candidate, Failure} from '@figfall/decisions';
import type {CallSpec} from '../calls/call_spec.js';
import {callerPatienceMs} from '../calls/caller_patience_ms.js';
import type {PlaceOptions} from './place_options.js';
import type {RateLimits} from './rate_limits.js';

/** Share of a caller's time that a request may wait for a limited server. */
const WAIT_SHARE = 0.5;

/** Milliseconds between looks at all servers for a request that waits. */
const JUDGE_INTERVAL_MS = 200;

type Queue = ReturnType<typeof limitQueue.empty>;
type Verdict = ReturnType<typeof judgeLimitWait>;

interface LimitWaitsOptions {
  readonly now: () => number;
  readonly limits: RateLimits;
}

/** Requests that wait for the limited servers of one service. */
interface ServiceWaits {
  readonly queue: Queue;
  /** Servers that the last judged request could be sent to. */
  readonly servers: readonly BackendServer[];
}

/** The reason why an admitted request waits, and until when that holds. */
interface Held {
  readonly failure: Failure;
  /** Monotonic time in milliseconds. */
  readonly until: number;
}

/** Time in milliseconds until which a request may wait for its turn. */
function giveUpAt({req, route, deadlineAt}: CallSpec): number {
  const {arrivedAt} = req;
  const patienceMs =
    route.kind === 'streaming' ? callerPatienceMs(route) : Infinity;
  const callerMs = Math.min(patienceMs, deadlineAt - arrivedAt);
  return arrivedAt + callerMs * WAIT_SHARE;
}

/** Requests that wait because all their servers have named request rates. */
export class LimitWaits {
  private readonly services = new Map<string, ServiceWaits>();
  private readonly held = new Map<string, Held>();

  constructor(private readonly options: LimitWaitsOptions) {}

  /**
   * Why a request has to wait for permits, or is refused for lack of them.
   * Undefined if it may be sent to one of the candidates, if there is any.
   */
  delay(
    spec: CallSpec,
    candidates: readonly Candidate[],
    {lastEventAt, isHedge = false}: PlaceOptions,
  ): Failure | undefined {
    const limited = candidates.filter(({rateLimit}) => rateLimit);
    if (limited.length === 0) return undefined;
    if (limited.length < candidates.length) {
      this.leave(spec.req.requestId);
      return undefined;
    }
    if (!isHedge) return this.judge(spec, limited, lastEventAt !== undefined);
    return this.waitsOf(spec).queue.waiting.size > 0
      ? createFailure('not-ready', 'Other requests wait for permits.')
      : undefined;
  }

  /** Why an admitted request goes on waiting, if that needs no other look. */
  stillHeld(spec: CallSpec): Failure | undefined {
    const {requestId} = spec.req;
    const held = this.held.get(requestId);
    if (!held || held.until <= this.options.now()) return undefined;
    const {queue, servers} = this.waitsOf(spec);
    const position = limitQueue.position(queue, requestId);
    return position < this.permitsOf(servers) ? undefined : held.failure;
  }

  /** Ends the wait of a request that is sent. */
  serve(spec: CallSpec): void {
    const {requestId} = spec.req;
    this.held.delete(requestId);
    const waits = this.services.get(spec.service.name);
    if (!waits?.queue.waiting.has(requestId)) return;
    const queue = limitQueue.serve(waits.queue, requestId);
    this.update(spec.service.name, {...waits, queue});
  }

  /** Ends the wait of a request that is not sent, if it waits. */
  leave(requestId: string): void {
    this.held.delete(requestId);
    [...this.services]
      .filter(([, {queue}]) => queue.waiting.has(requestId))
      .forEach(([service, waits]) => {
        const queue = limitQueue.leave(waits.queue, requestId);
        this.update(service, {...waits, queue});
      });
  }

  private judge(
    spec: CallSpec,
    candidates: readonly Candidate[],
    isResumed: boolean,
  ): Failure | undefined {
    const {requestId} = spec.req;
    const queue = this.join(spec, candidates, isResumed);
    const verdict = this.verdict(spec, queue, candidates, isResumed);
    if (verdict.type === 'send') return undefined;
    const failure = this.describe(spec, queue, candidates, verdict);
    if (verdict.type === 'refuse') this.leave(requestId);
    if (verdict.type === 'admit') this.admit(spec);
    const isAdmitted = queue.waiting.get(requestId)?.isAdmitted ?? false;
    if (verdict.type === 'wait' && isAdmitted) this.hold(spec, failure);
    return failure;
  }

  /** Lets an admitted request wait without another look for a while. */
  private hold(spec: CallSpec, failure: Failure): void {
    const nextLookAt = this.options.now() + JUDGE_INTERVAL_MS;
    const until = Math.min(nextLookAt, giveUpAt(spec));
    this.held.set(spec.req.requestId, {failure, until});
  }

  private join(
    spec: CallSpec,
    candidates: readonly Candidate[],
    isResumed: boolean,
  ): Queue {
    const flow = `${spec.workspace ?? ''}/${spec.route.name}`;
    const queue = limitQueue.join(
      this.waitsOf(spec).queue,
      spec.req.requestId,
      {flow, isResumed},
      this.options.now(),
    );
    const servers = candidates.map(({server}) => server);
    this.update(spec.service.name, {queue, servers});
    return queue;
  }

  private verdict(
    spec: CallSpec,
    queue: Queue,
    candidates: readonly Candidate[],
    isResumed: boolean,
  ): Verdict {
    const {now, limits} = this.options;
    const {requestId} = spec.req;
    const {joinedAt = 0, isAdmitted = false} =
      queue.waiting.get(requestId) ?? {};
    const servers = candidates.map(({server}) => server);
    const wait = {
      position: limitQueue.position(queue, requestId),
      permits: this.permitsOf(servers),
      servers: servers.map(server => limits.issuedRate(server)),
      joinedAt,
      giveUpAt: giveUpAt(spec),
      isAdmitted,
      isResumed,
    };
    return judgeLimitWait(wait, now());
  }

  private admit(spec: CallSpec): void {
    const waits = this.waitsOf(spec);
    const queue = limitQueue.admit(waits.queue, spec.req.requestId);
    this.services.set(spec.service.name, {...waits, queue});
  }

  private describe(
    {service, req}: CallSpec,
    queue: Queue,
    candidates: readonly Candidate[],
    verdict: Verdict,
  ): Failure {
    const position = limitQueue.position(queue, req.requestId);
    const message = `All backend servers of service ${service.name} that can take the request have named request rates. Requests before it here: ${position}. ${this.options.limits.describe(candidates)}`;
    if (verdict.type !== 'refuse') return createFailure('not-ready', message);
    const {retryAfterMs} = verdict;
    return createFailure('server-limit', message, {retryAfterMs});
  }

  private waitsOf({service}: CallSpec): ServiceWaits {
    const empty = {queue: limitQueue.empty(), servers: []};
    return this.services.get(service.name) ?? empty;
  }

  private permitsOf(servers: readonly BackendServer[]): number {
    const {permits} = this.options.limits;
    return servers.reduce((sum, server) => sum + permits.usable(server), 0);
  }

  /** Sets what waits for a service, and spreads it over the servers. */
  private update(service: string, waits: ServiceWaits): void {
    this.services.set(service, waits);
    const {queue, servers} = waits;
    const count = Math.ceil(queue.waiting.size / Math.max(1, servers.length));
    servers.forEach(server => this.options.limits.permits.want(server, count));
  }
}
