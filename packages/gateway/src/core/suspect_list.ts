import {crashSuspects} from '@figfall/decisions';
import type {WorkChange} from '@figfall/decisions';
import {computeFingerprint} from '@figfall/node-link';
import type {CallSpec} from '../calls/call_spec.js';

interface SuspectListOptions {
  readonly now: () => number;
  /** Takes a change in here and tells other entries. */
  readonly change: (change: WorkChange) => void;
}

function fingerprint({req, workspace = ''}: CallSpec): string {
  return computeFingerprint(workspace, req.method, req.target, req.body);
}

/** Requests that may crash whichever backend server runs them. */
export class SuspectList {
  private suspects = crashSuspects.empty();

  constructor(private readonly options: SuspectListOptions) {}

  /** Milliseconds for which a request is still refused; 0 if it may run. */
  refusedMs(spec: CallSpec): number {
    const {suspects, options} = this;
    if (suspects.size === 0) return 0;
    return crashSuspects.refusedForMs(
      suspects,
      fingerprint(spec),
      options.now(),
    );
  }

  /** Notes that a request goes to a server. */
  tried(spec: CallSpec): void {
    const {suspects, options} = this;
    if (suspects.size === 0) return;
    const now = options.now();
    this.suspects = crashSuspects.recordTrial(suspects, fingerprint(spec), now);
  }

  /** Notes that a server closed the connection while it had a request. */
  broke(spec: CallSpec, serverId: string, heldMs: number): void {
    const change = {fingerprint: fingerprint(spec), serverId, heldMs};
    this.options.change({type: 'broke', ...change});
  }

  /** Notes that a server answered a request in full. */
  answered(spec: CallSpec): void {
    if (this.suspects.size === 0) return;
    const known = fingerprint(spec);
    if (!this.suspects.has(known)) return;
    this.options.change({type: 'answered', fingerprint: known});
  }

  /** Takes in a change of this entry or of another one. */
  hear(change: Extract<WorkChange, {readonly fingerprint: string}>): void {
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

  /** Forgets requests that have not come again for long. */
  forget(): void {
    this.suspects = crashSuspects.removeExpired(
      this.suspects,
      this.options.now(),
    );
  }
}
