import {
  ROUTING,
  createFailure,
  eligibleAgents,
  retryBudget,
  routeRequest,
} from '@figfall/decisions';
import type {AgentView, Failure, RouteQuery} from '@figfall/decisions';
import {err, ok} from 'neverthrow';
import type {Result} from 'neverthrow';
import type {NodeContext} from '../node/node_context.js';
import type {AgentViews} from './agent_views.js';
import type {CallSpec} from './call_spec.js';
import {ENTRY} from './entry_constants.js';
import type {EntrySettings} from './entry_settings.js';

const RETRY_OPTIONS = {ratio: ENTRY.RETRY_RATIO, burst: ENTRY.RETRY_BURST};

/** Chooses agents for an entry's requests and limits its retries. */
export class EntryRouter {
  private budget = retryBudget.create(RETRY_OPTIONS);
  private roundRobinCounter = 0;
  /** Prompt tokens of the most recent completions. */
  private recentPromptTokens: readonly number[] = [];

  constructor(
    private readonly context: NodeContext,
    private readonly settings: EntrySettings,
    private readonly views: AgentViews,
  ) {}

  /** Credits the retry budget for a new request and records its length. */
  recordRequest(spec: CallSpec): void {
    this.budget = retryBudget.recordAttempt(this.budget, RETRY_OPTIONS);
    if (spec.agentKind !== 'model-engine') return;
    const recent = [...this.recentPromptTokens, spec.promptTokens];
    this.recentPromptTokens = recent.slice(-ENTRY.RECENT_REQUESTS);
  }

  /**
   * Chooses the agent that a request is offered to next. Fails with
   * `not-ready`, `no-backend-server` or `retry-budget`.
   */
  route(
    spec: CallSpec,
    exclude: readonly string[],
    isRetry: boolean,
  ): Result<AgentView, Failure> {
    this.roundRobinCounter += 1;
    const view = spec.pinned
      ? this.pinnedView(spec.pinned.agentId, exclude)
      : routeRequest(this.views.listActive(), this.query(spec, exclude), {
          longShare: this.longShare(),
        });
    if (!view) return err(this.routeFailure(spec));
    return isRetry ? this.spendRetry().map(() => view) : ok(view);
  }

  /** Returns the linked agents that could take a request now. */
  eligibleAgents(spec: CallSpec): AgentView[] {
    return eligibleAgents(this.views.listActive(), this.query(spec, []));
  }

  /** Distinguishes disconnected agents from a lack of agents. */
  private routeFailure(spec: CallSpec): Failure {
    const isDisconnected = this.views
      .listActive()
      .some(
        ({linked, report}) => !linked && report.serves.includes(spec.target),
      );
    return isDisconnected
      ? createFailure(
          'not-ready',
          `Links to backend servers of "${spec.target}" are down.`,
        )
      : createFailure(
          'no-backend-server',
          `No backend server in service can take requests for "${spec.target}".`,
        );
  }

  private spendRetry(): Result<void, Failure> {
    const spent = retryBudget.spend(this.budget);
    this.budget = spent.budget;
    if (spent.allowed) {
      this.context.metrics.retries.inc();
      return ok(undefined);
    }
    return err(
      createFailure('retry-budget', 'Too many requests are being retried.'),
    );
  }

  private pinnedView(agentId: string, exclude: readonly string[]) {
    const view = this.views.find(agentId);
    return view?.linked && !exclude.includes(agentId) ? view : undefined;
  }

  /** Returns the share of recent prompt tokens in long prompts. */
  private longShare(): number {
    const total = this.recentPromptTokens.reduce((sum, n) => sum + n, 0);
    const long = this.recentPromptTokens
      .filter(tokens => tokens > ROUTING.LONG_PROMPT_TOKENS)
      .reduce((sum, n) => sum + n, 0);
    return total === 0 ? 0 : long / total;
  }

  private query(spec: CallSpec, exclude: readonly string[]): RouteQuery {
    const {hash, random} = this.context;
    const {region, zone, routingPolicy} = this.settings;
    return {
      target: spec.target,
      kind: spec.agentKind,
      promptTokens: spec.promptTokens,
      totalTokens: spec.totalTokens,
      affinityKey: spec.affinityKey,
      region,
      zone,
      exclude,
      policy: routingPolicy,
      now: Date.now(),
      hash,
      random,
      roundRobinCounter: this.roundRobinCounter,
    };
  }
}
