/** A figfall process as it names itself on a link. */
export interface NodeIdentity {
  readonly id: string;
  /** Changes each time the process starts. */
  readonly incarnation: string;
  readonly role: 'entry' | 'agent';
}
