import {readFileSync} from 'node:fs';
import {decodeRecord} from '@figfall/operator';
import type {FigfallRecord} from '@figfall/operator';
import {err, ok} from 'neverthrow';
import type {Result} from 'neverthrow';

/** A record of a file, with the version that the operator has seen. */
interface FileRecord {
  readonly record: FigfallRecord;
  /** The record as JSON text. */
  readonly text: string;
  /** Undefined where the file names none: the record must be new. */
  readonly version?: number;
}

const STANDARD_INPUT = '-';

function readJson(path: string): Result<unknown, string> {
  try {
    const text = readFileSync(path === STANDARD_INPUT ? 0 : path, 'utf8');
    return ok(JSON.parse(text));
  } catch (error) {
    return err(`${path}: ${(error as Error).message}`);
  }
}

/** Takes apart what `figfall get` prints: a record with its version. */
function unwrap(value: unknown): {raw: unknown; version?: number} {
  const {record, version} = (value ?? {}) as Record<string, unknown>;
  return typeof version === 'number' && record !== undefined
    ? {raw: record, version}
    : {raw: value};
}

function readOne(
  value: unknown,
  where: string,
): Result<FileRecord, readonly string[]> {
  const {raw, version} = unwrap(value);
  return decodeRecord(raw)
    .map(record => ({record, text: JSON.stringify(raw), version}))
    .mapErr(issues =>
      issues.map(
        ({field, value: found, allowed}) =>
          `${where}: field ${field} is ${found}; allowed: ${allowed}`,
      ),
    );
}

/** Reads records from files and returns all that is wrong at once. */
export function readRecords(
  paths: readonly string[],
): Result<readonly FileRecord[], readonly string[]> {
  const results = paths.flatMap(path => {
    const json = readJson(path);
    if (json.isErr()) return [err([json.error])];
    const values = Array.isArray(json.value) ? json.value : [json.value];
    return values.map((value: unknown, i) =>
      readOne(value, values.length > 1 ? `${path}[${i}]` : path),
    );
  });
  const errors = results.flatMap(result =>
    result.isErr() ? result.error : [],
  );
  if (errors.length > 0) return err(errors);
  return ok(results.flatMap(result => (result.isOk() ? [result.value] : [])));
}
