import {sleep} from '../http/sleep.js';
import {sendJson} from '../http/send_json.js';
import {startHttp} from '../http/start_http.js';

interface WeightStoreOptions {
  /** Downloads that the store bears at once. */
  readonly limit: number;
  /** Milliseconds that a download takes. */
  readonly loadMs: number;
  readonly port?: number;
}

/** Starts a stand-in weight store that refuses loads over its limit. */
export async function startWeightStore(options: WeightStoreOptions) {
  const figures = {loads: 0, refused: 0, atOnce: 0, maxAtOnce: 0};
  const {server: _server, ...http} = await startHttp(async (_req, res) => {
    figures.atOnce += 1;
    figures.maxAtOnce = Math.max(figures.maxAtOnce, figures.atOnce);
    const isOver = figures.atOnce > options.limit;
    if (isOver) figures.refused += 1;
    else figures.loads += 1;
    if (!isOver) await sleep(options.loadMs);
    figures.atOnce -= 1;
    sendJson(res, isOver ? 429 : 200, {});
  }, options.port);
  return {...http, figures};
}
