import type {AgentPhase} from './agent_phase.js';

/** Report of an agent on itself and its backend server, sent on each link. */
export interface AgentReport {
  readonly agentId: string;
  /** Changes each time the agent's process starts. */
  readonly incarnation: string;
  /** Name of the backend server beside the agent. */
  readonly backendServer: string;
  readonly kind: 'model-engine' | 'plain-service';
  readonly region: string;
  readonly zone: string;
  readonly phase: AgentPhase;
  /** Names of the models, or of the one service, that can be called. */
  readonly serves: readonly string[];
  /**
   * False if no record declares the backend server, or if a record takes it or
   * its availability zone out of service.
   */
  readonly inService: boolean;
  /** Number of requests running on the backend server. */
  readonly running: number;
  /** Number of requests queued at the agent. */
  readonly queued: number;
  /** Prompt tokens that are queued or being prefilled. */
  readonly pendingTokens: number;
  /** Tokens of `pendingTokens` that belong to short prompts. */
  readonly pendingShortTokens: number;
  /** Current limit of `running`. */
  readonly runningLimit: number;
  /** Free capacity of the backend server, in tokens. */
  readonly freeTokens: number;
  /** Total capacity of the backend server, in tokens. */
  readonly totalTokens: number;
  /** Measured prefill rate in tokens per second. */
  readonly prefillRate: number;
  /** Highest configuration version that the agent knows. */
  readonly configRevision: number;
}
