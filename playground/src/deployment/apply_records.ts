import {createRecordStore, decodeRecord} from '@figfall/operator';
import {createPlatformClient} from '@figfall/platform';

const TIMEOUT_MS = 2_000;
const WATCH_MS = 1_000;

/** Writes records as an operator would, over whatever version is there. */
export async function applyRecords(
  baseUrl: string,
  records: readonly unknown[],
): Promise<void> {
  const platform = createPlatformClient({
    baseUrl,
    timeoutMs: TIMEOUT_MS,
    watchMs: WATCH_MS,
  });
  const store = createRecordStore(platform);
  for (const raw of records) {
    const record = decodeRecord(raw)._unsafeUnwrap();
    const current = await store.read(record.kind, record.data.name);
    const {version} = current._unsafeUnwrap();
    const written = await store.write(record, JSON.stringify(raw), version);
    if (written.isErr()) throw new Error(written.error.message);
  }
}
