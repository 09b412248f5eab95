import type {IncomingMessage, ServerResponse} from 'node:http';
import {readBody} from '../http/read_body.js';
import {sendJson} from '../http/send_json.js';
import {sleep} from '../http/sleep.js';
import {startHttpServer} from '../http/start_http_server.js';

/** Faults of the fake plain service. */
interface ServiceFaults {
  /** Milliseconds that each call takes after its execution is counted. */
  delayMs: number;
  /** Number of coming calls that run but get no response. */
  loseAnswers: number;
}

/**
 * Starts a fake plain service that counts executions by idempotency key, or by
 * body if a call has no key.
 */
export async function startFakeService(
  overrides: Partial<ServiceFaults> & {readonly port?: number} = {},
) {
  const {port, ...rest} = overrides;
  const faults: ServiceFaults = {delayMs: 0, loseAnswers: 0, ...rest};
  const executions = new Map<string, number>();

  const execute = async (req: IncomingMessage, res: ServerResponse) => {
    const body = (await readBody(req)).toString();
    const key = String(req.headers['idempotency-key'] ?? body);
    const count = (executions.get(key) ?? 0) + 1;
    executions.set(key, count);
    if (faults.delayMs > 0) await sleep(faults.delayMs);
    if (faults.loseAnswers > 0) {
      faults.loseAnswers -= 1;
      return void req.socket.destroy();
    }
    sendJson(res, 201, {path: req.url, booked: key, executions: count});
  };

  const routes: Readonly<
    Record<string, (req: IncomingMessage, res: ServerResponse) => Promise<void>>
  > = {
    '/healthz': async (_req, res) => sendJson(res, 200, {}),
    '/counts': async (_req, res) =>
      sendJson(res, 200, Object.fromEntries(executions)),
    '/control': async (req, res) => {
      Object.assign(faults, JSON.parse((await readBody(req)).toString()));
      sendJson(res, 200, {});
    },
  };

  const handle = async (req: IncomingMessage, res: ServerResponse) => {
    const route = routes[req.url ?? ''] ?? execute;
    await route(req, res);
  };

  const {server: _server, ...http} = await startHttpServer(handle, port);
  return {...http, faults, executions};
}
