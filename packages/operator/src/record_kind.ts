/** Kinds of configuration records; operators write them. */
export type RecordKind =
  | 'workspace'
  | 'model'
  | 'adapter'
  | 'placement'
  | 'service'
  | 'availability-zone'
  | 'backend-server';
