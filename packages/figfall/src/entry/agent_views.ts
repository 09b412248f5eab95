import {ROUTING} from '@figfall/decisions';
import type {AgentReport, AgentView} from '@figfall/decisions';

/** An entry's load estimates of the agents that it is linked to. */
export class AgentViews {
  private readonly views = new Map<string, AgentView>();
  private leaving: ReadonlySet<string> = new Set();

  /** Returns the agents that the platform does not list as leaving. */
  listActive(): AgentView[] {
    return [...this.views.values()].filter(
      ({report}) => !this.leaving.has(report.agentId),
    );
  }

  /** Replaces the ids of the agents that the platform lists as leaving. */
  setLeaving(agentIds: readonly string[]): void {
    this.leaving = new Set(agentIds);
  }

  find(agentId: string): AgentView | undefined {
    return this.views.get(agentId);
  }

  /**
   * Stores a report and resets the counts of what was sent since the last
   * one, because the report includes it.
   */
  recordReport(report: AgentReport): void {
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

  /** Marks an agent as unlinked until its next report. */
  recordLinkDown(agentId: string): void {
    this.update(agentId, () => ({linked: false}));
  }

  /** Counts an attempt that was sent to an agent. */
  recordSent(agentId: string, promptTokens: number): void {
    const isLong = promptTokens > ROUTING.LONG_PROMPT_TOKENS;
    const shortTokens = isLong ? 0 : promptTokens;
    this.update(agentId, view => ({
      sentShortTokens: view.sentShortTokens + shortTokens,
      sentTokens: view.sentTokens + promptTokens,
      sentCalls: view.sentCalls + 1,
      outstandingCalls: view.outstandingCalls + 1,
    }));
  }

  /** Counts the end of an attempt that was sent to an agent. */
  recordEnded(agentId: string): void {
    this.update(agentId, view => ({
      outstandingCalls: Math.max(0, view.outstandingCalls - 1),
    }));
  }

  /** Makes routing avoid an agent for `ROUTING.REFUSAL_AVOID_MS`. */
  recordRefusal(agentId: string): void {
    const avoidUntil = Date.now() + ROUTING.REFUSAL_AVOID_MS;
    this.update(agentId, () => ({avoidUntil}));
  }

  /** Removes the views of all agents that are not in the list. */
  prune(linkedAgentIds: readonly string[]): void {
    const linked = new Set(linkedAgentIds);
    [...this.views.keys()]
      .filter(agentId => !linked.has(agentId))
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
