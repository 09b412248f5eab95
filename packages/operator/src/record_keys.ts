import type {RecordKind} from './record_kind.js';

const CONFIG_PREFIX = 'config/';
const STATUS_PREFIX = 'status/';

/** Keys of the platform objects that hold records and status. */
export const recordKeys = {
  prefix: CONFIG_PREFIX,
  statusPrefix: STATUS_PREFIX,

  /** Key of a record. */
  record(kind: RecordKind, name: string): string {
    return `${CONFIG_PREFIX}${kind}/${name}`;
  },

  /** Key of a status object; the id is like `zone/werk`. */
  status(id: string): string {
    return `${STATUS_PREFIX}${id}`;
  },
};
