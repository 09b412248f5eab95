import type {RecordDataByKind} from './record_data_by_kind.js';
import type {RecordKind} from './record_kind.js';

/** The latest valid records, by kind and name. */
export interface ConfigView {
  readonly find: <Kind extends RecordKind>(
    kind: Kind,
    name: string,
  ) => RecordDataByKind[Kind] | undefined;
  readonly all: <Kind extends RecordKind>(
    kind: Kind,
  ) => readonly RecordDataByKind[Kind][];
  /** Highest version of any record. */
  readonly revision: number;
}
