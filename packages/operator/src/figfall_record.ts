import type {RecordDataByKind} from './record_data_by_kind.js';
import type {RecordKind} from './record_kind.js';

/** A decoded record, discriminated by its kind. */
export type FigfallRecord = {
  readonly [Kind in RecordKind]: {
    readonly kind: Kind;
    readonly data: RecordDataByKind[Kind];
  };
}[RecordKind];
