import type {AgentReport} from './agent_report.js';

/** An entry's estimate of one agent: its last report and own sends since. */
export interface AgentView {
  readonly report: AgentReport;
  readonly reportedAt: number;
  /** Prompt tokens that this entry sent since the report. */
  readonly sentTokens: number;
  /** Part of `sentTokens` that is in short prompts. */
  readonly sentShortTokens: number;
  /** Requests that this entry sent since the report. */
  readonly sentCalls: number;
  /** Requests of this entry that have not ended. */
  readonly outstandingCalls: number;
  /** False while the link to the agent is down. */
  readonly linked: boolean;
  /** Time until which a refusal keeps this agent out of choice. */
  readonly avoidUntil: number;
}
