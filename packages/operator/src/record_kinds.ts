import type {RecordKind} from './record_kind.js';
import {RECORD_SCHEMAS} from './schemas/record_schemas.js';

/** All kinds of records. */
export const RECORD_KINDS = Object.keys(
  RECORD_SCHEMAS,
) as readonly RecordKind[];
