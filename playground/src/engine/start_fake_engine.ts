import {randomUUID} from 'node:crypto';
import type {IncomingMessage, ServerResponse} from 'node:http';
import {readBody} from '../http/read_body.js';
import {sendJson} from '../http/send_json.js';
import {sleep} from '../http/sleep.js';
import {startHttpServer} from '../http/start_http_server.js';
import {createEngineCore} from './create_engine_core.js';
import type {EngineOptions} from './engine_options.js';
import type {CompletionRequest} from './completion_request.js';
import {createOrderHandler} from './create_order_handler.js';
import {promptDigest} from './prompt_digest.js';
import {resolveEngineOptions} from './resolve_engine_options.js';
import type {Sequence} from './sequence.js';

const CRASH_MARK = '[[crash]]';
const CHARS_PER_TOKEN = 4;
const DEFAULT_MAX_TOKENS = 16;

/** Starts a stand-in model engine. */
export async function startFakeEngine(
  overrides: Partial<EngineOptions> & {readonly port?: number} = {},
) {
  const {port, ...rest} = overrides;
  const options = resolveEngineOptions(rest);
  const core = createEngineCore(options);
  const orders = createOrderHandler(options);
  const counts = {generations: 0, prefills: 0};
  let downUntil = 0;
  let arrivals = 0;

  const textOf = (body: CompletionRequest): string =>
    body.prompt ?? (body.messages ?? []).map(({content}) => content).join('\n');

  const importedDigest = (handle: string | undefined): number =>
    handle ? Number(handle.split(':').at(-1)) : 0;

  const sequenceOf = (
    body: CompletionRequest,
    text: string,
    kind: Sequence['kind'],
    handlers: Pick<Sequence, 'onToken' | 'onEnd' | 'onCrash'>,
  ): Sequence => {
    const blocks = promptDigest.blockDigests(
      text,
      importedDigest(body.kv_import),
    );
    const promptTokens = Math.ceil(text.length / CHARS_PER_TOKEN);
    const lastIndex = body.max_tokens ?? DEFAULT_MAX_TOKENS;
    return {
      id: body.request_id ?? randomUUID(),
      kind,
      priority: body.priority ?? 0,
      arrived: arrivals++,
      toPrefill: promptTokens + (body.resume?.index ?? 0),
      memory: promptTokens + (kind === 'generate' ? lastIndex : 0),
      blocks,
      digest: blocks.at(-1) ?? 0,
      crashes: text.includes(CRASH_MARK),
      nextIndex: body.resume?.index ?? 0,
      lastIndex,
      nextTokenAt: 0,
      state: 'waiting',
      ...handlers,
    };
  };

  const crashNow = (): void => {
    downUntil = Date.now() + options.restartMs;
    core.crash();
    http.server.closeAllConnections();
  };

  const streamChunk = (isChat: boolean, index: number, text: string) => {
    const choice = isChat ? {delta: {content: text}} : {text};
    const chunk = {token_index: index, choices: [{index: 0, ...choice}]};
    return `data: ${JSON.stringify(chunk)}\n\n`;
  };

  const generate = async (
    req: IncomingMessage,
    res: ServerResponse,
    isChat: boolean,
  ) => {
    const body = JSON.parse(
      (await readBody(req)).toString(),
    ) as CompletionRequest;
    counts.generations += 1;
    res.writeHead(200, {'content-type': 'text/event-stream'});
    res.flushHeaders();
    const sequence = sequenceOf(body, textOf(body), 'generate', {
      onToken: (index, text) => res.write(streamChunk(isChat, index, text)),
      onEnd: () => {
        const usage = {completion_tokens: sequence.lastIndex};
        res.write(`data: ${JSON.stringify({choices: [], usage})}\n\n`);
        res.end('data: [DONE]\n\n');
      },
      onCrash: () => undefined,
    });
    res.on('close', () => core.cancel(sequence.id));
    core.add(sequence);
    if (sequence.crashes) watchCrash(sequence.id);
  };

  /** Ends the connections as soon as a marked prompt has crashed the core. */
  const watchCrash = (id: string): void => {
    const before = core.load().incarnation;
    const timer = setInterval(() => {
      if (core.load().incarnation !== before) {
        clearInterval(timer);
        downUntil = Date.now() + options.restartMs;
        http.server.closeAllConnections();
      } else if (!core.has(id)) clearInterval(timer);
    }, 2);
  };

  const prefill = async (req: IncomingMessage, res: ServerResponse) => {
    const body = JSON.parse((await readBody(req)).toString()) as Omit<
      CompletionRequest,
      'prompt'
    > & {readonly text: string};
    counts.prefills += 1;
    const sequence = sequenceOf(body, body.text, 'segment', {
      onToken: () => undefined,
      onEnd: () =>
        sendJson(res, 200, {handle: `${sequence.id}:${sequence.digest}`}),
      onCrash: () => res.destroy(),
    });
    core.add(sequence);
  };

  const cancel = async (req: IncomingMessage, res: ServerResponse) => {
    const body = JSON.parse((await readBody(req)).toString()) as {
      readonly request_id: string;
    };
    core.cancel(body.request_id);
    sendJson(res, 200, {});
  };

  const order = async (req: IncomingMessage, res: ServerResponse) => {
    const body = JSON.parse((await readBody(req)).toString());
    sendJson(res, await orders.take(body), {});
  };

  const load = async (_req: IncomingMessage, res: ServerResponse) => {
    const snapshot = core.load();
    await sleep(options.loadLagMs);
    sendJson(res, 200, snapshot);
  };

  const control = async (req: IncomingMessage, res: ServerResponse) => {
    Object.assign(options, JSON.parse((await readBody(req)).toString()));
    sendJson(res, 200, {});
  };

  const routes: Readonly<
    Record<string, (req: IncomingMessage, res: ServerResponse) => Promise<void>>
  > = {
    '/v1/completions': (req, res) => generate(req, res, false),
    '/v1/chat/completions': (req, res) => generate(req, res, true),
    '/v1/kv/prefill': prefill,
    '/v1/cancel': cancel,
    '/v1/orders': order,
    '/v1/load': load,
    '/control': control,
    '/figures': async (_req, res) => sendJson(res, 200, counts),
  };

  const handle = async (req: IncomingMessage, res: ServerResponse) => {
    if (Date.now() < downUntil) return void req.socket.destroy();
    if (options.frozen && req.url !== '/control') {
      while (options.frozen) await sleep(20);
    }
    const route = routes[req.url ?? ''];
    return route ? route(req, res) : sendJson(res, 404, {});
  };

  const http = await startHttpServer(handle, port);
  return {
    port: http.port,
    baseUrl: http.baseUrl,
    options,
    counts,
    orders: orders.log,
    coldStats: core.coldStats,
    load: core.load,
    resetToCold: core.resetToCold,
    crash: crashNow,
    close: () => {
      core.stop();
      return http.close();
    },
  };
}
