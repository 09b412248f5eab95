/** Kinds of records that operators write. */
export type RecordKind =
  | 'workspace'
  | 'model'
  | 'adapter'
  | 'placement'
  | 'service'
  | 'availability-zone'
  | 'backend-server';
