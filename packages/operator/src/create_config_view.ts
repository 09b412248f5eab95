import type {ConfigState} from '@figfall/decisions';
import type {ConfigView} from './config_view.js';
import {decodeRecordText} from './decode_record_text.js';
import {isTombstone} from './is_tombstone.js';
import type {RecordDataByKind} from './record_data_by_kind.js';
import {recordKeys} from './record_keys.js';
import type {RecordKind} from './record_kind.js';

type DataByKey = ReadonlyMap<string, RecordDataByKind[RecordKind]>;

function decodeAll(state: ConfigState): DataByKey {
  const pairs = [...state.validEntries.values()].flatMap(entry => {
    const {value} = entry;
    if (value === undefined || isTombstone(value)) return [];
    const decoded = decodeRecordText(value);
    return decoded.isOk() ? [[entry.key, decoded.value.data] as const] : [];
  });
  return new Map(pairs);
}

/** Decodes all valid records at once, so create one view for each change. */
export function createConfigView(state: ConfigState): ConfigView {
  const dataByKey = decodeAll(state);
  return {
    revision: state.revision,
    find: <Kind extends RecordKind>(kind: Kind, name: string) =>
      dataByKey.get(recordKeys.record(kind, name)) as
        RecordDataByKind[Kind] | undefined,
    all: <Kind extends RecordKind>(kind: Kind) => {
      const prefix = recordKeys.record(kind, '');
      return [...dataByKey]
        .filter(([key]) => key.startsWith(prefix))
        .map(([, data]) => data as RecordDataByKind[Kind]);
    },
  };
}
