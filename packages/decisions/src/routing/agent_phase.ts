/** Lifecycle phase of an agent together with its backend server. */
export type AgentPhase = 'starting' | 'cold' | 'serving' | 'leaving' | 'gone';
