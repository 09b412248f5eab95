import {
  SHORT_PROMPT_MS,
  createFailure,
  engineTime,
  judgeSlot,
  returnTimes,
} from '@figfall/decisions';
import type {
  Candidate,
  Failure,
  RandomSource,
  SlotWait,
} from '@figfall/decisions';
import type {CallSpec} from '../calls/call_spec.js';
import {callerPatienceMs} from '../calls/caller_patience_ms.js';
import type {FleetWork} from './fleet_work.js';
import type {PlaceOptions} from './place_options.js';
import {RejectedRequests} from './rejected_requests.js';

/** Milliseconds for which a request waits without another look. */
const JUDGE_INTERVAL_MS = 200;

interface SlotAdmissionOptions {
  readonly work: FleetWork;
  readonly random: RandomSource;
  /** Monotonic time in milliseconds. */
  readonly now: () => number;
}

/** A request that waits, and when it needs another look. */
interface Held {
  readonly wait: Omit<SlotWait, 'owner'>;
  readonly failure: Failure;
  readonly until: number;
  /** Work items that had ended when it was judged. */
  readonly ends: number;
}

/** Prefill of a short prompt in milliseconds; undefined for a long one. */
function shortPrefillMs({req, service}: CallSpec): number | undefined {
  if (!service.engine || !req.prompt) return 0;
  const ms = engineTime.prefillMs(service.engine, req.prompt.promptTokens);
  return ms <= SHORT_PROMPT_MS ? ms : undefined;
}

/** Judges short prompts and plain requests for which no slot is free. */
export class SlotAdmission {
  private readonly held = new Map<string, Held>();
  private readonly rejected: RejectedRequests;
  private readonly returns = new Map<
    string,
    ReturnType<typeof returnTimes.empty>
  >();

  constructor(private readonly options: SlotAdmissionOptions) {
    this.rejected = new RejectedRequests(options.now);
  }

  /** Why a request goes on waiting, if that needs no other look. */
  stillHeld({req, service}: CallSpec): Failure | undefined {
    const held = this.held.get(req.requestId);
    if (!held || held.until <= this.options.now()) return undefined;
    const {slots} = this.options.work;
    const position = slots.knownPosition(service.name, req.requestId);
    return slots.ends - held.ends <= position ? held.failure : undefined;
  }

  /**
   * Why a request has to wait for a slot, or is rejected for lack of one.
   * Undefined if it may be sent. Resumed streams, requests that run elsewhere
   * and long prompts do not wait for slots.
   */
  delay(
    spec: CallSpec,
    candidates: readonly Candidate[],
    {lastEventAt, isHedge = false}: PlaceOptions,
  ): Failure | undefined {
    const isLimited = candidates.some(({rateLimit}) => rateLimit);
    const prefillMs = shortPrefillMs(spec);
    const mayWait = !isHedge && lastEventAt === undefined && !isLimited;
    if (!mayWait || prefillMs === undefined || candidates.length === 0) {
      return undefined;
    }
    const {work} = this.options;
    const hasFree = candidates.some(
      ({server, load}) => load.running < server.slots,
    );
    if (hasFree && !work.slots.isContended(spec.service.name)) return undefined;
    const wait = this.waitOf(spec);
    const serverIds = candidates.map(({server}) => server.id);
    const position = work.slots.position(wait, serverIds, work.load);
    const meanMs = work.slots.meanMs(serverIds);
    const times = work.slots.times(candidates, meanMs ?? 0, work.load);
    const isAdmitted = work.slots.has(wait.workId);
    const verdict = judgeSlot({
      position,
      times,
      meanMs,
      isAdmitted,
      ...this.timeLeft(spec, prefillMs, meanMs ?? 0),
    });
    if (verdict.type === 'start') {
      this.held.delete(wait.workId);
      return undefined;
    }
    if (verdict.type === 'refuse') {
      const intervalMs = (meanMs ?? 0) / times.untilFreeMs.length;
      return this.reject(spec, verdict.slotMs, intervalMs);
    }
    return this.hold(wait, position, verdict.slotMs);
  }

  /** Forgets a request that has ended. */
  leave(requestId: string): void {
    this.held.delete(requestId);
  }

  private waitOf({req, service, priority, workspace = ''}: CallSpec) {
    const {requestId: workId} = req;
    const known = this.held.get(workId);
    if (known) return known.wait;
    return {
      workId,
      service: service.name,
      level: priority.level,
      workspace,
      isReturn: this.rejected.has(req, workspace),
      arrivedAt: req.arrivedAt,
    };
  }

  /** Milliseconds within which a request has to be sent. */
  private timeLeft(
    {req, route, service, deadlineAt}: CallSpec,
    prefillMs: number,
    meanMs: number,
  ) {
    const {engine} = service;
    const runMs =
      engine && req.prompt
        ? prefillMs + engineTime.passMs(engine, engine.slots)
        : meanMs;
    const patienceMs =
      route.kind === 'streaming' ? callerPatienceMs(route) : Infinity;
    const waitedMs = this.options.now() - req.arrivedAt;
    const callerMs = Math.min(patienceMs, deadlineAt - req.arrivedAt);
    return {
      targetLeftMs: route.latencyTargetMs - waitedMs - runMs,
      callerLeftMs: callerMs - waitedMs - runMs,
    };
  }

  private hold(
    wait: Omit<SlotWait, 'owner'>,
    position: number,
    slotMs: number,
  ): Failure {
    const {work, now} = this.options;
    const {service, workId} = wait;
    if (!work.slots.has(workId)) work.startSlotWait(wait);
    const message = `No backend server of service ${service} has a free slot. Requests before it: ${position}. A slot is predicted in ${Math.round(slotMs)} ms.`;
    const failure = createFailure('not-ready', message);
    const until = now() + Math.min(JUDGE_INTERVAL_MS, slotMs / 2);
    const {ends} = work.slots;
    this.held.set(workId, {wait, failure, until, ends});
    return failure;
  }

  private reject(
    {req, service, workspace = ''}: CallSpec,
    slotMs: number,
    intervalMs: number,
  ): Failure {
    const {work, random, now} = this.options;
    const {name} = service;
    this.leave(req.requestId);
    work.endWait(req.requestId);
    this.rejected.add(req, workspace);
    const caller = {
      expectedMs: slotMs,
      leftMs: req.arrivedAt + req.timeoutMs - now(),
      // The slots that become free are shared with the other gateways.
      spacingMs: intervalMs * work.slots.waitingGateways(name),
    };
    const known = this.returns.get(name) ?? returnTimes.empty();
    const {state, retryAfterMs} = returnTimes.next(
      known,
      caller,
      random,
      now(),
    );
    this.returns.set(name, state);
    const message = `All slots of service ${name} are taken, and one for the request is predicted in ${Math.round(slotMs)} ms only.`;
    return createFailure('deadline-infeasible', message, {retryAfterMs});
  }
}
