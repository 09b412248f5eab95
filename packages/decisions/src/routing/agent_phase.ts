/** Life cycle of an agent and the backend server beside it. */
export type AgentPhase = 'starting' | 'cold' | 'serving' | 'leaving' | 'gone';
