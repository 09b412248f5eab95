import {createFailure} from '@figfall/decisions';
import type {BackendServer, Failure, SuspectChange} from '@figfall/decisions';
import type {CallSpec} from '../calls/call_spec.js';
import {CrashSuspectList} from './crash_suspect_list.js';
import {SuspectPartList} from './suspect_part_list.js';

type SuspectsOptions = ConstructorParameters<typeof SuspectPartList>[0];

interface Loss {
  readonly server: BackendServer;
  /** Milliseconds from sending the request to the loss. */
  readonly heldMs: number;
  /** True if the server had begun to answer. */
  readonly hadEvents: boolean;
}

/** Requests, and parts of prompts, that may crash any server running them. */
export class Suspects {
  private readonly requests: CrashSuspectList;
  private readonly parts: SuspectPartList;

  constructor(options: SuspectsOptions) {
    this.requests = new CrashSuspectList(options);
    this.parts = new SuspectPartList(options);
  }

  /** Why a request must not be sent now; undefined if it may. */
  refusal(spec: CallSpec): Failure | undefined {
    const requestForMs = this.requests.refusedForMs(spec);
    const blocked = this.parts.findBlocked(spec);
    const retryAfterMs = Math.max(requestForMs, blocked?.forMs ?? 0);
    if (retryAfterMs <= 0) return undefined;
    const message = blocked
      ? `Several backend servers failed while running prompts with part ${blocked.part}. Send the prompt without it, or later.`
      : 'Several backend servers failed while running this request.';
    return createFailure('suspect-request', message, {retryAfterMs});
  }

  /** Records that a request is sent to a server. */
  recordTrial(spec: CallSpec): void {
    this.requests.recordTrial(spec);
    this.parts.recordTrial(spec);
  }

  /**
   * Records a lost connection to a server that had a request. A server that has
   * begun to answer was not lost because of this request.
   */
  recordLoss(spec: CallSpec, {server, heldMs, hadEvents}: Loss): void {
    if (hadEvents) return;
    this.requests.recordDisconnect(spec, server.id, heldMs);
    this.parts.recordLoss(spec, server, heldMs);
  }

  /** Records that a server has begun to answer a request. */
  recordBegun(spec: CallSpec): void {
    this.requests.recordAnswer(spec);
    this.parts.recordAnswer(spec);
  }

  /** Records a complete response, which clears a request of suspicion. */
  recordAnswer(spec: CallSpec): void {
    this.requests.recordAnswer(spec);
  }

  /** Applies a change recorded by this gateway or by another one. */
  apply(change: SuspectChange): void {
    if ('fingerprint' in change) this.requests.apply(change);
    else this.parts.apply(change);
  }

  /** What a newly linked gateway should know. */
  changesForNewPeer(): readonly SuspectChange[] {
    return this.parts.changesForNewPeer();
  }

  /** Number of parts whose prompts are refused. */
  blockedPartCount(): number {
    return this.parts.blockedCount();
  }

  removeExpired(): void {
    this.requests.removeExpired();
    this.parts.removeExpired();
  }
}
