import {createFailure, divideLimit, tokenBucket} from '@figfall/decisions';
import type {Failure, Instance} from '@figfall/decisions';
import type {RecordDataByKind} from '@figfall/operator';

type Bucket = ReturnType<typeof tokenBucket.full>;

/** Enforces this entry's share of the limits of workspaces. */
export class WorkspaceLimits {
  private readonly running = new Map<string, number>();
  private readonly buckets = new Map<string, Bucket>();
  private members: readonly string[];

  constructor(private readonly self: string) {
    this.members = [self];
  }

  /** Learns which entries share the limits. */
  setInstances(instances: readonly Instance[]): void {
    const entries = instances
      .filter(({role, state}) => role === 'entry' && state === 'live')
      .map(({id}) => id);
    this.members = entries.includes(this.self)
      ? entries
      : [...entries, this.self];
  }

  /** Counts a request in, or returns why the workspace may not send it. */
  enter(
    workspace: RecordDataByKind['workspace'],
    promptTokens: number,
  ): Failure | undefined {
    const {name} = workspace;
    const count = this.running.get(name) ?? 0;
    if (count >= this.share(workspace.maxRunning)) {
      return createFailure(
        'workspace-limit',
        `Workspace ${name} has all the requests running that its record allows.`,
      );
    }
    if (!this.takeTokens(workspace, promptTokens)) {
      return createFailure(
        'workspace-limit',
        `Workspace ${name} has sent all the prompt tokens a second that its record allows.`,
      );
    }
    this.running.set(name, count + 1);
    return undefined;
  }

  leave(workspace: string): void {
    const count = (this.running.get(workspace) ?? 0) - 1;
    if (count > 0) this.running.set(workspace, count);
    else this.running.delete(workspace);
  }

  private share(limit: number | undefined): number {
    if (limit === undefined) return Number.MAX_SAFE_INTEGER;
    return divideLimit(limit, this.members, this.self);
  }

  private takeTokens(
    {name, tokensPerSecond}: RecordDataByKind['workspace'],
    promptTokens: number,
  ): boolean {
    if (tokensPerSecond === undefined) return true;
    const perSecond = this.share(tokensPerSecond);
    const limits = {perSecond, burst: perSecond};
    const now = Date.now();
    const bucket = this.buckets.get(name) ?? tokenBucket.full(limits, now);
    const cost = Math.min(promptTokens, limits.burst);
    const taken = tokenBucket.take(bucket, limits, cost, now);
    this.buckets.set(name, taken.bucket);
    return taken.taken;
  }
}
