import type {RecordForms} from './record_forms.js';
import type {RecordKind} from './record_kind.js';

/** Records in force, by kind and name. */
export interface ConfigView {
  readonly find: <Kind extends RecordKind>(
    kind: Kind,
    name: string,
  ) => RecordForms[Kind] | undefined;
  readonly all: <Kind extends RecordKind>(
    kind: Kind,
  ) => readonly RecordForms[Kind][];
  readonly revision: number;
}
