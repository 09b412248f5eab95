import {err, ok} from 'neverthrow';
import type {Result} from 'neverthrow';
import type {FigfallRecord} from './figfall_record.js';
import type {RecordIssue} from './record_issue.js';
import {RECORD_SCHEMAS} from './schemas/record_schemas.js';

type Path = readonly PropertyKey[];

function valueAt(value: unknown, path: Path): unknown {
  return path.reduce<unknown>(
    (inner, key) =>
      typeof inner === 'object' && inner !== null
        ? (inner as Record<PropertyKey, unknown>)[key]
        : undefined,
    value,
  );
}

function createIssue(value: unknown, path: Path, allowed: string): RecordIssue {
  const found = JSON.stringify(valueAt(value, path));
  return {
    field: path.length > 0 ? path.map(String).join('.') : '(record)',
    value: found ?? 'nothing',
    allowed,
  };
}

/** Validates a record of any kind and schema version, and decodes it. */
export function decodeRecord(
  value: unknown,
): Result<FigfallRecord, readonly RecordIssue[]> {
  const {kind, schemaVersion} = (value ?? {}) as Record<string, unknown>;
  const kinds = Object.keys(RECORD_SCHEMAS);
  if (typeof kind !== 'string' || !kinds.includes(kind)) {
    return err([createIssue(value, ['kind'], `one of ${kinds.join(', ')}`)]);
  }
  const versions = RECORD_SCHEMAS[kind as FigfallRecord['kind']];
  const knownVersions = Object.keys(versions);
  if (!knownVersions.includes(String(schemaVersion))) {
    const allowed = `for kind ${kind}: ${knownVersions.join(' or ')}`;
    return err([createIssue(value, ['schemaVersion'], allowed)]);
  }
  const parsed = versions[schemaVersion as number].safeParse(value);
  if (parsed.success) return ok({kind, data: parsed.data} as FigfallRecord);
  return err(
    parsed.error.issues.map(({path, message}) =>
      createIssue(value, path, message),
    ),
  );
}
