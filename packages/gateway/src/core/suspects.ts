import {createFailure, lostServers} from '@figfall/decisions';
import type {BackendServer, Failure, SuspectChange} from '@figfall/decisions';
import {computeFingerprint} from '@figfall/node-link';
import type {CallSpec} from '../calls/call_spec.js';
import {OwnLosses} from './own_losses.js';
import {splitLoss} from './split_loss.js';
import {SuspectList} from './suspect_list.js';

type ServerLost = Extract<SuspectChange, {readonly type: 'server-lost'}>;

interface SuspectsOptions {
  readonly now: () => number;
  /** Id of this gateway among all gateways. */
  readonly gatewayId: string;
  /** Applies a change to this gateway's fleet and announces it to others. */
  readonly applyAndAnnounce: (change: SuspectChange) => void;
  /** Called when requests of a key begin or cease to be refused. */
  readonly onSuspect: (
    kind: 'request' | 'part',
    key: string,
    isBlocked: boolean,
  ) => void;
}

interface Loss {
  readonly server: BackendServer;
  /** Milliseconds from sending the request to the loss. */
  readonly heldMs: number;
  /** True if the server had begun to answer. */
  readonly hadEvents: boolean;
}

/** Makes a request wait until it is known whether it is to blame. */
const PENDING = createFailure(
  'not-ready',
  'The request may be crashing backend servers.',
);

const REQUEST_LIMITS = {blockMs: 30_000, suspectTtlMs: 600_000};

const PART_LIMITS = {
  blockMs: 60_000,
  suspectTtlMs: 60_000,
  doubtfulTrialsMs: [1_000, 5_000],
};

/** Milliseconds for which a part that was answered is above suspicion. */
const PART_ANSWERED_TTL_MS = 60_000;

function fingerprint({req, workspace = ''}: CallSpec): string {
  return computeFingerprint(workspace, req.method, req.target, req.body);
}

/** Shared parts of a prompt, told apart by the service that runs it. */
function partsOf({req, service}: CallSpec): readonly string[] {
  const parts = req.prompt?.sharedParts ?? [];
  return parts.map(part => `${service.name}/${part}`);
}

/** Requests, and parts of prompts, that may crash any server running them. */
export class Suspects {
  private readonly requests: SuspectList;
  private readonly parts: SuspectList;
  private lost = lostServers.empty();
  private readonly ownLosses = new OwnLosses();
  /** Requests that were sent as a trial. */
  private readonly trials = new WeakSet<CallSpec['req']>();

  constructor(private readonly options: SuspectsOptions) {
    const {onSuspect} = options;
    this.requests = new SuspectList({
      ...options,
      kind: 'request',
      limits: REQUEST_LIMITS,
      answeredTtlMs: 0,
      onBlocked: (key, isBlocked) => onSuspect('request', key, isBlocked),
    });
    this.parts = new SuspectList({
      ...options,
      kind: 'part',
      limits: PART_LIMITS,
      answeredTtlMs: PART_ANSWERED_TTL_MS,
      onBlocked: (key, isBlocked) => onSuspect('part', key, isBlocked),
    });
  }

  /**
   * Why a request must not be sent now; undefined if it may. A stream that has
   * begun goes on, unless it is a trial: it may be a neighbour of the culprit.
   */
  refusal(spec: CallSpec, hasBegun: boolean): Failure | undefined {
    if (hasBegun && !this.trials.has(spec.req)) return undefined;
    const fingerprints = this.requests.isEmpty() ? [] : [fingerprint(spec)];
    const parts = partsOf(spec);
    const request = this.requests.findRefused(fingerprints);
    const part = this.parts.findRefused(parts);
    const retryAfterMs = Math.max(request?.forMs ?? 0, part?.forMs ?? 0);
    if (retryAfterMs <= 0) {
      const mayRun =
        this.requests.mayRun(fingerprints) && this.parts.mayRun(parts);
      return mayRun ? undefined : PENDING;
    }
    const message = part
      ? `Several backend servers failed while running prompts with part ${part.key}. Send the prompt without it, or later.`
      : 'Several backend servers failed while running this request.';
    return createFailure('suspect-request', message, {retryAfterMs});
  }

  /**
   * Records that a request is sent to a server. A stream that goes on is no trial:
   * its answer would not speak for its beginning.
   */
  recordTrial(spec: CallSpec, hasBegun: boolean): void {
    if (hasBegun) return;
    const isRequestTrial =
      !this.requests.isEmpty() &&
      this.requests.recordTrial([fingerprint(spec)]);
    const isPartTrial = this.parts.recordTrial(partsOf(spec));
    if (isRequestTrial || isPartTrial) this.trials.add(spec.req);
  }

  /** Records a lost connection to a server that ran a request. */
  recordLoss(spec: CallSpec, {server, heldMs, hadEvents}: Loss): void {
    const change: ServerLost = {
      type: 'server-lost',
      serverId: server.id,
      processStartedAt: server.processStartedAt,
      fingerprint: fingerprint(spec),
      parts: this.parts.withoutAnswered(partsOf(spec)),
      heldMs,
      hadEvents,
    };
    const {now, applyAndAnnounce} = this.options;
    this.ownLosses.add(change, now());
    splitLoss(change).forEach(applyAndAnnounce);
  }

  /** Records a response of a server to a request that was sent at `sentAt`. */
  recordResponse(serverId: string, sentAt: number): void {
    this.lost = lostServers.recordResponse(this.lost, serverId, sentAt);
  }

  /** Records a whole answer, which clears a request and its parts. */
  recordAnswer(spec: CallSpec): void {
    this.parts.recordAnswer(partsOf(spec));
    if (this.requests.isEmpty()) return;
    this.requests.recordAnswer([fingerprint(spec)]);
  }

  /** Applies a change recorded by this gateway or by another one. */
  apply(change: SuspectChange): void {
    switch (change.type) {
      case 'server-lost': {
        const {fingerprint, parts, heldMs, hadEvents, ageMs = 0} = change;
        const at = this.options.now() - ageMs;
        const {lost, crashId} = lostServers.identify(this.lost, change, at);
        this.lost = lost;
        const loss = {crashId, heldMs, hadEvents};
        this.requests.recordLoss({...loss, keys: [fingerprint]}, at);
        return this.parts.recordLoss({...loss, keys: parts}, at);
      }
      case 'suspects-answered':
      case 'suspect-claimed':
      case 'suspect-tried':
      case 'suspect-blocked':
        return this.listOf(change.kind)?.apply(change);
    }
  }

  /** What a newly linked gateway should know. */
  changesForNewPeer(): readonly SuspectChange[] {
    const losses = this.ownLosses.recent(this.options.now());
    return [
      ...losses.flatMap(splitLoss),
      ...this.requests.changesForNewPeer(),
      ...this.parts.changesForNewPeer(),
    ];
  }

  /** Numbers of requests and of parts that are refused. */
  blockedCounts() {
    return {
      requests: this.requests.blockedCount(),
      parts: this.parts.blockedCount(),
    };
  }

  /** Numbers of requests and of parts that were forgotten, being too many. */
  forgottenCounts() {
    return {
      requests: this.requests.forgottenCount(),
      parts: this.parts.forgottenCount(),
    };
  }

  removeExpired(): void {
    this.requests.removeExpired();
    this.parts.removeExpired();
  }

  /** A newer gateway may send kinds that are unknown here. */
  private listOf(kind: string): SuspectList | undefined {
    if (kind === 'request') return this.requests;
    return kind === 'part' ? this.parts : undefined;
  }
}
