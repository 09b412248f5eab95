/** Identity that a figfall process sends in its handshake. */
export interface NodeIdentity {
  readonly id: string;
  /** Identifies one start of the process; changes with each restart. */
  readonly incarnation: string;
  readonly role: 'entry' | 'agent';
}
