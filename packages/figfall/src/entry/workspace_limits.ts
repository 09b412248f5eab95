import {createFailure, divideLimit, tokenBucket} from '@figfall/decisions';
import type {Failure, Instance} from '@figfall/decisions';
import type {RecordDataByKind} from '@figfall/operator';

type Bucket = ReturnType<typeof tokenBucket.full>;

/** Enforces this entry's share of each workspace's limits. */
export class WorkspaceLimits {
  /** Number of running requests by workspace name. */
  private readonly runningCounts = new Map<string, number>();
  private readonly buckets = new Map<string, Bucket>();
  private entryIds: readonly string[];

  constructor(private readonly entryId: string) {
    this.entryIds = [entryId];
  }

  /** Updates the entries that share the limits: all live ones and this one. */
  setInstances(instances: readonly Instance[]): void {
    const liveIds = instances
      .filter(({role, state}) => role === 'entry' && state === 'live')
      .map(({id}) => id);
    this.entryIds = liveIds.includes(this.entryId)
      ? liveIds
      : [...liveIds, this.entryId];
  }

  /**
   * Counts a request and takes its prompt tokens, or returns a
   * `workspace-limit` failure. Each admitted request needs one `release`.
   */
  admit(
    workspace: RecordDataByKind['workspace'],
    promptTokens: number,
  ): Failure | undefined {
    const {name} = workspace;
    const count = this.runningCounts.get(name) ?? 0;
    if (count >= this.share(workspace.maxRunning)) {
      return createFailure(
        'workspace-limit',
        `Workspace "${name}" has reached its limit of running requests.`,
      );
    }
    if (!this.takePromptTokens(workspace, promptTokens)) {
      return createFailure(
        'workspace-limit',
        `Workspace "${name}" has reached its limit of prompt tokens per second.`,
      );
    }
    this.runningCounts.set(name, count + 1);
    return undefined;
  }

  /** Counts the end of an admitted request. */
  release(workspace: string): void {
    const count = (this.runningCounts.get(workspace) ?? 0) - 1;
    if (count > 0) this.runningCounts.set(workspace, count);
    else this.runningCounts.delete(workspace);
  }

  private share(limit: number | undefined): number {
    if (limit === undefined) return Number.MAX_SAFE_INTEGER;
    return divideLimit(limit, this.entryIds, this.entryId);
  }

  private takePromptTokens(
    {name, tokensPerSecond}: RecordDataByKind['workspace'],
    promptTokens: number,
  ): boolean {
    if (tokensPerSecond === undefined) return true;
    const perSecond = this.share(tokensPerSecond);
    const bucketLimits = {perSecond, burst: perSecond};
    const now = Date.now();
    const bucket =
      this.buckets.get(name) ?? tokenBucket.full(bucketLimits, now);
    // A prompt larger than the burst takes a full bucket, because it could
    // never be admitted otherwise.
    const cost = Math.min(promptTokens, bucketLimits.burst);
    const taken = tokenBucket.take(bucket, bucketLimits, cost, now);
    this.buckets.set(name, taken.bucket);
    return taken.taken;
  }
}
