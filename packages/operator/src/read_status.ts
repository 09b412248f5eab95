import {configStore} from '@figfall/decisions';
import type {HashFunction} from '@figfall/decisions';
import type {PlatformClient} from '@figfall/platform';
import {err, ok} from 'neverthrow';
import type {Result} from 'neverthrow';
import {createConfigView} from './create_config_view.js';
import {decodeRecordText} from './decode_record_text.js';
import {isTombstone} from './is_tombstone.js';
import {recordKeys} from './record_keys.js';
import {statusSentences} from './status/status_sentences.js';
import type {ZoneStatus} from './status/zone_status.js';

/** Status of a deployment as operators read it. */
interface DeploymentStatus {
  readonly revision: number;
  readonly sentences: readonly string[];
  readonly zones: readonly ZoneStatus[];
  /** True where the newest records are in force on all instances. */
  readonly isInForce: boolean;
}

const noHash: HashFunction = () => 0;

function isValidText(value: string): boolean {
  return isTombstone(value) || decodeRecordText(value).isOk();
}

function invalidSentences(
  objects: readonly {
    readonly key: string;
    readonly version: number;
    readonly value: string;
  }[],
): string[] {
  return objects
    .filter(({value}) => !isValidText(value))
    .map(({key, version}) => {
      const name = key.slice(recordKeys.prefix.length);
      return `Record ${name} has version ${version}, which is not valid; the last valid version stays in force. Apply a valid one.`;
    });
}

/** Reads records and status, and makes the operators' sentences. */
export async function readStatus(
  platform: PlatformClient,
  now: number,
): Promise<Result<DeploymentStatus, string>> {
  const records = await platform.list(recordKeys.prefix);
  const written = await platform.list(recordKeys.statusPrefix);
  if (records.isErr()) return err(records.error.message);
  if (written.isErr()) return err(written.error.message);
  const {objects} = records.value;
  const {state} = configStore.merge(configStore.empty(), objects, {
    hash: noHash,
    isValid: entry => isValidText(entry.value ?? ''),
  });
  const view = createConfigView(state);
  const zones = written.value.objects.map(
    ({value}) => JSON.parse(value) as ZoneStatus,
  );
  const declared = view.all('availability-zone');
  const {revision} = state;
  const nodes = zones.flatMap(zone => zone.nodes);
  const isHeard = declared.every(({name}) =>
    zones.some(({zone}) => zone === name),
  );
  return ok({
    revision,
    zones,
    isInForce: isHeard && nodes.every(n => (n.revision ?? 0) >= revision),
    sentences: [
      ...statusSentences({zones: declared, statuses: zones, revision, now}),
      ...invalidSentences(objects),
    ],
  });
}
