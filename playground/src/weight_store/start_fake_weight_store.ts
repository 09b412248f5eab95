import {sleep} from '../http/sleep.js';
import {sendJson} from '../http/send_json.js';
import {startHttpServer} from '../http/start_http_server.js';

interface WeightStoreOptions {
  /** Maximum number of concurrent downloads. */
  readonly limit: number;
  /** Milliseconds that a download takes. */
  readonly loadMs: number;
  readonly port?: number;
}

/** Starts a fake weight store; downloads over its limit get status 429. */
export async function startFakeWeightStore(options: WeightStoreOptions) {
  const counts = {loads: 0, refused: 0, active: 0, maxActive: 0};
  const {server: _server, ...http} = await startHttpServer(
    async (_req, res) => {
      counts.active += 1;
      counts.maxActive = Math.max(counts.maxActive, counts.active);
      const isOverLimit = counts.active > options.limit;
      if (isOverLimit) counts.refused += 1;
      else counts.loads += 1;
      if (!isOverLimit) await sleep(options.loadMs);
      counts.active -= 1;
      sendJson(res, isOverLimit ? 429 : 200, {});
    },
    options.port,
  );
  return {...http, counts};
}
