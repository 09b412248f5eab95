import {err} from 'neverthrow';
import type {Result} from 'neverthrow';
import {decodeRecord} from './decode_record.js';
import type {FigfallRecord} from './figfall_record.js';
import type {RecordIssue} from './record_issue.js';

/** Parses, validates and decodes a record from JSON text. */
export function decodeRecordText(
  text: string,
): Result<FigfallRecord, readonly RecordIssue[]> {
  try {
    return decodeRecord(JSON.parse(text));
  } catch (error) {
    const allowed = `JSON (${(error as Error).message})`;
    return err([{field: '(record)', value: text.slice(0, 40), allowed}]);
  }
}
