import type {AgentPhase} from './agent_phase.js';

/** What an agent says of itself and its backend server on each link. */
export interface AgentReport {
  readonly agentId: string;
  /** Changes each time the agent's process starts. */
  readonly incarnation: string;
  readonly backendServer: string;
  readonly kind: 'model-engine' | 'plain-service';
  readonly region: string;
  readonly zone: string;
  readonly phase: AgentPhase;
  /** Models, or the one service, that can be called here. */
  readonly serves: readonly string[];
  /** False where a record takes the availability zone or server out. */
  readonly inService: boolean;
  /** Requests that run on the backend server. */
  readonly running: number;
  /** Requests that wait at the agent. */
  readonly queued: number;
  /** Prompt tokens that are queued or being prefilled. */
  readonly pendingTokens: number;
  /** Part of `pendingTokens` that is in short prompts. */
  readonly pendingShortTokens: number;
  /** Largest number of requests that may run now. */
  readonly runningLimit: number;
  readonly freeTokens: number;
  readonly totalTokens: number;
  /** Measured prefill rate in tokens a second. */
  readonly prefillRate: number;
  readonly configRevision: number;
}
