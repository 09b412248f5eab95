import {createRecordStore, decodeRecord} from '@figfall/operator';
import {createPlatformClient} from '@figfall/platform';

const PLATFORM_TIMEOUT_MS = 2_000;

/**
 * Writes records through the operator's code path, replacing the stored
 * versions. Throws if a record is not valid or a write fails.
 */
export async function applyRecords(
  baseUrl: string,
  records: readonly unknown[],
): Promise<void> {
  const platform = createPlatformClient({
    baseUrl,
    timeoutMs: PLATFORM_TIMEOUT_MS,
  });
  const store = createRecordStore(platform);
  for (const raw of records) {
    const record = decodeRecord(raw)._unsafeUnwrap();
    const current = await store.read(record.kind, record.data.name);
    const {version} = current._unsafeUnwrap();
    const result = await store.write(record, JSON.stringify(raw), version);
    if (result.isErr()) throw new Error(result.error.message);
  }
}
