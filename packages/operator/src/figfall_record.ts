import type {RecordForms} from './record_forms.js';
import type {RecordKind} from './record_kind.js';

/** A decoded record with its kind. */
export type FigfallRecord = {
  readonly [Kind in RecordKind]: {
    readonly kind: Kind;
    readonly form: RecordForms[Kind];
  };
}[RecordKind];
