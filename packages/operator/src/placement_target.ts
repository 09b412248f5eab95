import type {RecordDataByKind} from './record_data_by_kind.js';

/** Name under which engines hold the model of a placement. */
export function placementTarget(
  placement: RecordDataByKind['placement'],
): string {
  const {model, version, adapter} = placement;
  return `${model}@${version}${adapter ? `+${adapter}` : ''}`;
}
