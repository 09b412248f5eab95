import {readFileSync} from 'node:fs';
import {decodeRecord} from '@figfall/operator';
import type {FigfallRecord} from '@figfall/operator';
import {err, ok} from 'neverthrow';
import type {Result} from 'neverthrow';

/** A record from a file, with the version that it is based on. */
interface FileRecord {
  readonly record: FigfallRecord;
  /** The record as JSON text. */
  readonly text: string;
  /** Undefined if the file has only the record; then `--version` applies. */
  readonly version?: number;
}

const STANDARD_INPUT_PATH = '-';

function readJson(path: string): Result<unknown, string> {
  try {
    const text = readFileSync(path === STANDARD_INPUT_PATH ? 0 : path, 'utf8');
    return ok(JSON.parse(text));
  } catch (error) {
    return err(`${path}: ${(error as Error).message}`);
  }
}

/** Splits the output of `figfall get` into the record and its version. */
function splitVersion(value: unknown): {raw: unknown; version?: number} {
  const {record, version} = (value ?? {}) as Record<string, unknown>;
  return typeof version === 'number' && record !== undefined
    ? {raw: record, version}
    : {raw: value};
}

function decodeOne(
  value: unknown,
  location: string,
): Result<FileRecord, readonly string[]> {
  const {raw, version} = splitVersion(value);
  return decodeRecord(raw)
    .map(record => ({record, text: JSON.stringify(raw), version}))
    .mapErr(issues =>
      issues.map(
        ({field, value: found, allowed}) =>
          `${location}: field ${field} is ${found}; allowed: ${allowed}`,
      ),
    );
}

/**
 * Reads records from JSON files with one record or an array of records. If any
 * is not valid, returns the errors of all.
 */
export function readRecords(
  paths: readonly string[],
): Result<readonly FileRecord[], readonly string[]> {
  const results = paths.flatMap(path => {
    const json = readJson(path);
    if (json.isErr()) return [err([json.error])];
    const values = Array.isArray(json.value) ? json.value : [json.value];
    return values.map((value: unknown, i) =>
      decodeOne(value, values.length > 1 ? `${path}[${i}]` : path),
    );
  });
  const errors = results.flatMap(result =>
    result.isErr() ? result.error : [],
  );
  if (errors.length > 0) return err(errors);
  return ok(results.flatMap(result => (result.isOk() ? [result.value] : [])));
}
