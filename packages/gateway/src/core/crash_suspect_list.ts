import {crashSuspects} from '@figfall/decisions';
import type {SuspectChange} from '@figfall/decisions';
import {computeFingerprint} from '@figfall/node-link';
import type {CallSpec} from '../calls/call_spec.js';

interface CrashSuspectListOptions {
  readonly now: () => number;
  /** Applies a change to this gateway's fleet and announces it to others. */
  readonly applyAndAnnounce: (change: SuspectChange) => void;
}

function fingerprint({req, workspace = ''}: CallSpec): string {
  return computeFingerprint(workspace, req.method, req.target, req.body);
}

/** Requests that may crash any backend server that runs them. */
export class CrashSuspectList {
  private suspects = crashSuspects.empty();

  constructor(private readonly options: CrashSuspectListOptions) {}

  /** Milliseconds for which a request is still refused; 0 if it may run. */
  refusedForMs(spec: CallSpec): number {
    const {suspects, options} = this;
    if (suspects.size === 0) return 0;
    return crashSuspects.refusedForMs(
      suspects,
      fingerprint(spec),
      options.now(),
    );
  }

  /** Records that a request is sent to a server. */
  recordTrial(spec: CallSpec): void {
    const {suspects, options} = this;
    if (suspects.size === 0) return;
    const now = options.now();
    this.suspects = crashSuspects.recordTrial(suspects, fingerprint(spec), now);
  }

  /** Records a lost connection to a server that had a request for `heldMs`. */
  recordDisconnect(spec: CallSpec, serverId: string, heldMs: number): void {
    const change = {fingerprint: fingerprint(spec), serverId, heldMs};
    this.options.applyAndAnnounce({type: 'broke', ...change});
  }

  /** Records a complete response, which clears a request of suspicion. */
  recordAnswer(spec: CallSpec): void {
    if (this.suspects.size === 0) return;
    const known = fingerprint(spec);
    if (!this.suspects.has(known)) return;
    this.options.applyAndAnnounce({type: 'answered', fingerprint: known});
  }

  /** Applies a change recorded by this gateway or by another one. */
  apply(change: Extract<SuspectChange, {readonly fingerprint: string}>): void {
    const {suspects, options} = this;
    this.suspects =
      change.type === 'broke'
        ? crashSuspects.recordDisconnect(
            suspects,
            change.fingerprint,
            change,
            options.now(),
          )
        : crashSuspects.recordAnswer(suspects, change.fingerprint);
  }

  /** Removes suspects that have not been seen for a long time. */
  removeExpired(): void {
    this.suspects = crashSuspects.removeExpired(
      this.suspects,
      this.options.now(),
    );
  }
}
