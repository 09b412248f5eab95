import type {RecordDataByKind} from './record_data_by_kind.js';

/** Returns the engine name of a model: `model@version` or `model@version+adapter`. */
export function placementTarget(
  placement: RecordDataByKind['placement'],
): string {
  const {model, version, adapter} = placement;
  return `${model}@${version}${adapter ? `+${adapter}` : ''}`;
}
