import {RECORD_KINDS} from '@figfall/operator';
import type {RecordKind} from '@figfall/operator';
import {err, ok} from 'neverthrow';
import type {Result} from 'neverthrow';

interface RecordName {
  readonly kind: RecordKind;
  readonly name: string;
}

/** Parses `KIND NAME` or `KIND/NAME`; the error is a message for operators. */
export function parseRecordName(
  args: readonly string[],
): Result<RecordName, string> {
  const [kind, name] = args.length === 1 ? args[0].split('/') : args;
  if (!RECORD_KINDS.includes(kind as RecordKind)) {
    return err(
      `"${kind}" is not a kind of record; kinds: ${RECORD_KINDS.join(', ')}`,
    );
  }
  if (!name) return err(`The name of the ${kind} is missing.`);
  return ok({kind: kind as RecordKind, name});
}
