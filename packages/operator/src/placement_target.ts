import type {RecordForms} from './record_forms.js';

/** Name under which engines hold the model of a placement. */
export function placementTarget(placement: RecordForms['placement']): string {
  const {model, version, adapter} = placement;
  return `${model}@${version}${adapter ? `+${adapter}` : ''}`;
}
