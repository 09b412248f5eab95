import type {RecordDataByKind} from './record_data_by_kind.js';
import type {RecordKind} from './record_kind.js';

/** Records in force, by kind and name. */
export interface ConfigView {
  readonly find: <Kind extends RecordKind>(
    kind: Kind,
    name: string,
  ) => RecordDataByKind[Kind] | undefined;
  readonly all: <Kind extends RecordKind>(
    kind: Kind,
  ) => readonly RecordDataByKind[Kind][];
  readonly revision: number;
}
