import type {IncomingMessage, ServerResponse} from 'node:http';
import type {Instance} from '@figfall/decisions';
import {readBody} from '../http/read_body.js';
import {sendJson} from '../http/send_json.js';
import {sleep} from '../http/sleep.js';
import {startHttpServer} from '../http/start_http_server.js';
import {createInstanceTable} from './create_instance_table.js';
import {createObjectTable} from './create_object_table.js';
import type {PlatformFaults} from './platform_faults.js';

const VALUE_BYTES_MAX = 1_048_576;

/** Calls by type. A watch counts as one call, however long it waits. */
interface CallCounts {
  reads: number;
  writes: number;
  watches: number;
  /** Writes and removals refused for an outdated version. */
  conflicts: number;
}

/** Starts a fake platform with its object API and instance list. */
export async function startFakePlatform(
  options: Partial<PlatformFaults> & {readonly port?: number} = {},
) {
  const {port, ...overrides} = options;
  const faults: PlatformFaults = {
    down: false,
    listDown: false,
    delayMs: 0,
    loseAnswers: 0,
    callsPerSecond: 0,
    instanceLagMs: 0,
    ...overrides,
  };
  const counts: CallCounts = {reads: 0, writes: 0, watches: 0, conflicts: 0};
  const objects = createObjectTable();
  const instances = createInstanceTable();
  let windowStartedAt = 0;
  let windowCalls = 0;

  const exceedsRate = (): boolean => {
    const now = Date.now();
    if (now - windowStartedAt >= 1_000) {
      windowStartedAt = now;
      windowCalls = 0;
    }
    windowCalls += 1;
    return faults.callsPerSecond > 0 && windowCalls > faults.callsPerSecond;
  };

  const expectedVersion = (req: IncomingMessage): number =>
    Number((req.headers['if-match'] ?? '0').replaceAll('"', ''));

  const findConflict = (req: IncomingMessage, key: string) => {
    const version = objects.versionOf(key);
    if (version === expectedVersion(req)) return undefined;
    counts.conflicts += 1;
    return {version};
  };

  const write = async (
    req: IncomingMessage,
    res: ServerResponse,
    key: string,
  ) => {
    counts.writes += 1;
    const body = await readBody(req);
    if (body.length > VALUE_BYTES_MAX) return sendJson(res, 413, {});
    const conflict = findConflict(req, key);
    if (conflict) return sendJson(res, 412, conflict);
    const version = objects.put(key, body.toString());
    if (faults.loseAnswers > 0) {
      faults.loseAnswers -= 1;
      return void req.socket.destroy();
    }
    sendJson(res, 200, {version});
  };

  const remove = (req: IncomingMessage, res: ServerResponse, key: string) => {
    counts.writes += 1;
    const conflict = findConflict(req, key);
    if (conflict) return sendJson(res, 412, conflict);
    objects.remove(key);
    sendJson(res, 200, {});
  };

  const read = (res: ServerResponse, key: string) => {
    counts.reads += 1;
    const found = objects.get(key);
    return found ? sendJson(res, 200, found) : sendJson(res, 404, {});
  };

  const watch = async (res: ServerResponse, url: URL) => {
    counts.watches += 1;
    const prefix = url.searchParams.get('prefix') ?? '';
    const since = Number(url.searchParams.get('since'));
    const waitMs = Number(url.searchParams.get('wait_ms'));
    await objects.waitForChange(prefix, since, waitMs);
    if (faults.down) return sendJson(res, 503, {});
    sendJson(res, 200, objects.listByPrefix(prefix, since));
  };

  const control = async (req: IncomingMessage, res: ServerResponse) => {
    const body = JSON.parse((await readBody(req)).toString()) as {
      readonly faults?: Partial<PlatformFaults>;
      readonly instance?: Instance;
      readonly removeInstance?: string;
    };
    Object.assign(faults, body.faults);
    if (body.instance) instances.set(body.instance);
    if (body.removeInstance) instances.remove(body.removeInstance);
    sendJson(res, 200, {counts});
  };

  const handle = async (req: IncomingMessage, res: ServerResponse) => {
    const url = new URL(req.url ?? '/', 'http://platform');
    if (url.pathname === '/control') return control(req, res);
    if (faults.delayMs > 0) await sleep(faults.delayMs);
    const isInstanceList = url.pathname === '/v1/instances';
    const isDown = isInstanceList ? faults.listDown : faults.down;
    if (isDown) return sendJson(res, 503, {});
    if (exceedsRate()) return sendJson(res, 429, {});
    if (url.pathname === '/v1/watch') return watch(res, url);
    if (isInstanceList) {
      counts.reads += 1;
      const listed = instances.listDelayed(faults.instanceLagMs);
      return sendJson(res, 200, {instances: listed});
    }
    if (url.pathname === '/v1/objects') {
      counts.reads += 1;
      const prefix = url.searchParams.get('prefix') ?? '';
      return sendJson(res, 200, objects.listByPrefix(prefix, 0));
    }
    const key = decodeURIComponent(url.pathname.replace('/v1/objects/', ''));
    if (req.method === 'PUT') return write(req, res, key);
    if (req.method === 'DELETE') return remove(req, res, key);
    return read(res, key);
  };

  const {server: _server, ...http} = await startHttpServer(handle, port);
  return {...http, faults, counts, instances, objects};
}
