import {ROUTING} from '@figfall/decisions';
import type {AgentReport, AgentView} from '@figfall/decisions';

/** An entry's estimates of the agents that it is linked to. */
export class AgentViews {
  private readonly views = new Map<string, AgentView>();
  private leaving: ReadonlySet<string> = new Set();

  /** Agents that the platform's list does not show as leaving. */
  all(): AgentView[] {
    return [...this.views.values()].filter(
      ({report}) => !this.leaving.has(report.agentId),
    );
  }

  /** Learns which agents the platform's list shows as leaving. */
  setLeaving(agentIds: readonly string[]): void {
    this.leaving = new Set(agentIds);
  }

  find(agentId: string): AgentView | undefined {
    return this.views.get(agentId);
  }

  /** Takes a report, which covers what was sent before it. */
  report(report: AgentReport): void {
    const {agentId} = report;
    const known = this.views.get(agentId);
    this.views.set(agentId, {
      report,
      reportedAt: Date.now(),
      sentTokens: 0,
      sentShortTokens: 0,
      sentCalls: 0,
      outstandingCalls: known?.outstandingCalls ?? 0,
      linked: true,
      avoidUntil: known?.avoidUntil ?? 0,
    });
  }

  linkDown(agentId: string): void {
    this.update(agentId, () => ({linked: false}));
  }

  sent(agentId: string, promptTokens: number): void {
    const isLong = promptTokens > ROUTING.LONG_PROMPT_TOKENS;
    const shortTokens = isLong ? 0 : promptTokens;
    this.update(agentId, view => ({
      sentShortTokens: view.sentShortTokens + shortTokens,
      sentTokens: view.sentTokens + promptTokens,
      sentCalls: view.sentCalls + 1,
      outstandingCalls: view.outstandingCalls + 1,
    }));
  }

  ended(agentId: string): void {
    this.update(agentId, view => ({
      outstandingCalls: Math.max(0, view.outstandingCalls - 1),
    }));
  }

  refused(agentId: string): void {
    const avoidUntil = Date.now() + ROUTING.REFUSAL_AVOID_MS;
    this.update(agentId, () => ({avoidUntil}));
  }

  /** Forgets agents that are not kept links to. */
  keepOnly(agentIds: readonly string[]): void {
    const kept = new Set(agentIds);
    [...this.views.keys()]
      .filter(agentId => !kept.has(agentId))
      .forEach(agentId => this.views.delete(agentId));
  }

  private update(
    agentId: string,
    change: (view: AgentView) => Partial<AgentView>,
  ): void {
    const view = this.views.get(agentId);
    if (view) this.views.set(agentId, {...view, ...change(view)});
  }
}
