import {createHash} from 'node:crypto';
import type {CallerRequest} from '../ports/caller_request.js';
import {RecentKeys} from './recent_keys.js';

/** Rejected requests that are remembered at most. */
const REQUESTS_MAX = 1_000;

/** Milliseconds within which a rejected request may come back. */
const RETURN_MS = 10_000;

function keyOf(
  {method, target, body}: CallerRequest,
  workspace: string,
): string {
  const head = JSON.stringify([workspace, method, target]);
  return createHash('sha256').update(head).update(body).digest('base64');
}

/** Requests that this gateway rejected and that may come back. */
export class RejectedRequests {
  private readonly keys: RecentKeys;
  private lastAt = -Infinity;

  constructor(private readonly now: () => number) {
    this.keys = new RecentKeys({max: REQUESTS_MAX, ttlMs: RETURN_MS, now});
  }

  add(req: CallerRequest, workspace: string): void {
    this.lastAt = this.now();
    this.keys.add(keyOf(req, workspace));
  }

  /** True if an equal request was rejected; hashes none if none was. */
  has(req: CallerRequest, workspace: string): boolean {
    if (this.now() - this.lastAt >= RETURN_MS) return false;
    return this.keys.has(keyOf(req, workspace));
  }
}
