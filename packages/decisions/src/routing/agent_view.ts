import type {AgentReport} from './agent_report.js';

/** An entry's view of one agent: its last report and what was sent since. */
export interface AgentView {
  readonly report: AgentReport;
  /** Time in milliseconds at which the report arrived. */
  readonly reportedAt: number;
  /** Prompt tokens that this entry sent since the report. */
  readonly sentTokens: number;
  /** Tokens of `sentTokens` that belong to short prompts. */
  readonly sentShortTokens: number;
  /** Number of requests that this entry sent since the report. */
  readonly sentCalls: number;
  /** Number of requests that this entry sent and that have not ended. */
  readonly outstandingCalls: number;
  /** False while the link to the agent is down. */
  readonly linked: boolean;
  /** Time in ms until which routing avoids the agent after a refusal. */
  readonly avoidUntil: number;
}
