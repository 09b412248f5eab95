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

/** Chooses agents for an entry's requests. */
export class EntryRouter {
  private budget = retryBudget.create(RETRY_OPTIONS);
  private turn = 0;
  private recentTokens: readonly number[] = [];

  constructor(
    private readonly context: NodeContext,
    private readonly settings: EntrySettings,
    private readonly views: AgentViews,
  ) {}

  /** Counts a new request, which earns part of a retry. */
  recordRequest(spec: CallSpec): void {
    this.budget = retryBudget.recordAttempt(this.budget, RETRY_OPTIONS);
    if (spec.agentKind !== 'model-engine') return;
    const recent = [...this.recentTokens, spec.promptTokens];
    this.recentTokens = recent.slice(-ENTRY.MIX_WINDOW);
  }

  /** Chooses the agent that a request is offered to next. */
  route(
    spec: CallSpec,
    exclude: readonly string[],
    isRetry: boolean,
  ): Result<AgentView, Failure> {
    this.turn += 1;
    const view = spec.fixed
      ? this.fixedView(spec.fixed.agentId, exclude)
      : routeRequest(this.views.all(), this.query(spec, exclude), {
          longShare: this.longShare(),
        });
    if (!view) return err(this.unroutable(spec));
    return isRetry ? this.spendRetry().map(() => view) : ok(view);
  }

  /** Agents that serve a target, for prompts that need several. */
  serving(spec: CallSpec): AgentView[] {
    return eligibleAgents(this.views.all(), this.query(spec, []));
  }

  /** Tells agents that are only out of reach from there being none. */
  private unroutable(spec: CallSpec): Failure {
    const isOutOfReach = this.views
      .all()
      .some(
        ({linked, report}) => !linked && report.serves.includes(spec.target),
      );
    return isOutOfReach
      ? createFailure(
          'not-ready',
          `The backend servers of "${spec.target}" can't be reached now.`,
        )
      : createFailure(
          'no-backend-server',
          `No backend server in service can take "${spec.target}" now.`,
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
      createFailure(
        'retry-budget',
        'Too many requests are being retried, so this one is not.',
      ),
    );
  }

  private fixedView(agentId: string, exclude: readonly string[]) {
    const view = this.views.find(agentId);
    return view?.linked && !exclude.includes(agentId) ? view : undefined;
  }

  private longShare(): number {
    const total = this.recentTokens.reduce((sum, n) => sum + n, 0);
    const long = this.recentTokens
      .filter(tokens => tokens > ROUTING.LONG_PROMPT_TOKENS)
      .reduce((sum, n) => sum + n, 0);
    return total === 0 ? 0 : long / total;
  }

  private query(spec: CallSpec, exclude: readonly string[]): RouteQuery {
    const {hash, random} = this.context;
    const {region, zone, routingPolicy: policy} = this.settings;
    return {
      target: spec.target,
      kind: spec.agentKind,
      promptTokens: spec.promptTokens,
      totalTokens: spec.totalTokens,
      affinityKey: spec.affinity,
      region,
      zone,
      exclude,
      policy,
      now: Date.now(),
      hash,
      random,
      roundRobinCounter: this.turn,
    };
  }
}
