import {configStore} from '@figfall/decisions';
import type {HashFunction} from '@figfall/decisions';
import type {PlatformClient} from '@figfall/platform';
import {err, ok} from 'neverthrow';
import type {Result} from 'neverthrow';
import {createConfigView} from './create_config_view.js';
import {decodeRecordText} from './decode_record_text.js';
import {isTombstone} from './is_tombstone.js';
import {recordKeys} from './record_keys.js';
import {describeStatus} from './status/describe_status.js';
import type {ZoneStatus} from './status/zone_status.js';

/** Status of a deployment, printed by `figfall status --json`. */
interface DeploymentStatus {
  /** Highest version of any record. */
  readonly revision: number;
  readonly sentences: readonly string[];
  readonly zones: readonly ZoneStatus[];
  /** True if all zones have reported and all nodes apply the newest records. */
  readonly isInForce: boolean;
}

// The checksum of the merged state is not used.
const noHash: HashFunction = () => 0;

function isValidValue(value: string): boolean {
  return isTombstone(value) || decodeRecordText(value).isOk();
}

function describeInvalidRecords(
  objects: readonly {
    readonly key: string;
    readonly version: number;
    readonly value: string;
  }[],
): string[] {
  return objects
    .filter(({value}) => !isValidValue(value))
    .map(({key, version}) => {
      const name = key.slice(recordKeys.prefix.length);
      return `Record ${name} has version ${version}, which is not valid; the last valid version stays in force. Apply a valid version.`;
    });
}

/**
 * Reads the records and the status of all availability zones. `now` is the
 * time of day in milliseconds, to detect outdated statuses.
 */
export async function readStatus(
  platform: PlatformClient,
  now: number,
): Promise<Result<DeploymentStatus, string>> {
  const records = await platform.list(recordKeys.prefix);
  const statuses = await platform.list(recordKeys.statusPrefix);
  if (records.isErr()) return err(records.error.message);
  if (statuses.isErr()) return err(statuses.error.message);
  const {objects} = records.value;
  const {state} = configStore.merge(configStore.empty(), objects, {
    hash: noHash,
    isValid: entry => isValidValue(entry.value ?? ''),
  });
  const view = createConfigView(state);
  const zones = statuses.value.objects.map(
    ({value}) => JSON.parse(value) as ZoneStatus,
  );
  const zoneRecords = view.all('availability-zone');
  const {revision} = state;
  const nodes = zones.flatMap(zone => zone.nodes);
  const haveAllReported = zoneRecords.every(({name}) =>
    zones.some(({zone}) => zone === name),
  );
  return ok({
    revision,
    zones,
    isInForce:
      haveAllReported && nodes.every(n => (n.revision ?? 0) >= revision),
    sentences: [
      ...describeStatus({zones: zoneRecords, statuses: zones, revision, now}),
      ...describeInvalidRecords(objects),
    ],
  });
}
