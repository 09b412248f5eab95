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

const CRASH_MARKER = '[[crash]]';
const CHARS_PER_TOKEN = 4;
const DEFAULT_MAX_TOKENS = 16;

/**
 * Starts a fake model engine over HTTP. The generated text depends only on the
 * prompt and its imported segments. A prompt that contains `[[crash]]` makes
 * the engine crash once it is prefilled.
 */
export async function startFakeEngine(
  overrides: Partial<EngineOptions> & {readonly port?: number} = {},
) {
  const {port, ...rest} = overrides;
  const options = resolveEngineOptions(rest);
  const core = createEngineCore(options);
  const orderHandler = createOrderHandler(options);
  const counts = {generations: 0, prefills: 0};
  let downUntil = 0;
  let arrivalCount = 0;

  const promptText = (body: CompletionRequest): string =>
    body.prompt ?? (body.messages ?? []).map(({content}) => content).join('\n');

  const importedDigest = (handle: string | undefined): number =>
    handle ? Number(handle.split(':').at(-1)) : 0;

  const createSequence = (
    body: CompletionRequest,
    text: string,
    kind: Sequence['kind'],
    handlers: Pick<Sequence, 'onToken' | 'onEnd' | 'onCrash'>,
  ): Sequence => {
    const blockDigests = promptDigest.blockDigests(
      text,
      importedDigest(body.kv_import),
    );
    const promptTokens = Math.ceil(text.length / CHARS_PER_TOKEN);
    const endIndex = body.max_tokens ?? DEFAULT_MAX_TOKENS;
    return {
      id: body.request_id ?? randomUUID(),
      kind,
      priority: body.priority ?? 0,
      arrivalIndex: arrivalCount++,
      tokensToPrefill: promptTokens + (body.resume?.index ?? 0),
      memoryTokens: promptTokens + (kind === 'generate' ? endIndex : 0),
      blockDigests,
      promptDigest: blockDigests.at(-1) ?? 0,
      crashesEngine: text.includes(CRASH_MARKER),
      nextIndex: body.resume?.index ?? 0,
      endIndex,
      nextTokenAt: 0,
      state: 'waiting',
      ...handlers,
    };
  };

  const crash = (): void => {
    downUntil = Date.now() + options.restartMs;
    core.crash();
    http.server.closeAllConnections();
  };

  const formatChunk = (isChat: boolean, index: number, text: string) => {
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
    const sequence = createSequence(body, promptText(body), 'generate', {
      onToken: (index, text) => res.write(formatChunk(isChat, index, text)),
      onEnd: () => {
        const usage = {completion_tokens: sequence.endIndex};
        res.write(`data: ${JSON.stringify({choices: [], usage})}\n\n`);
        res.end('data: [DONE]\n\n');
      },
      onCrash: () => undefined,
    });
    res.on('close', () => core.cancel(sequence.id));
    core.add(sequence);
    if (sequence.crashesEngine) watchForCrash(sequence.id);
  };

  /** Closes all connections once a marked prompt has crashed the engine. */
  const watchForCrash = (id: string): void => {
    const incarnation = core.load().incarnation;
    const timer = setInterval(() => {
      if (core.load().incarnation !== incarnation) {
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
    const sequence = createSequence(body, body.text, 'segment', {
      onToken: () => undefined,
      onEnd: () =>
        sendJson(res, 200, {handle: `${sequence.id}:${sequence.promptDigest}`}),
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

  const handleOrder = async (req: IncomingMessage, res: ServerResponse) => {
    const body = JSON.parse((await readBody(req)).toString());
    sendJson(res, await orderHandler.handleOrder(body), {});
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
    '/v1/orders': handleOrder,
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
    orders: orderHandler.log,
    coldStats: core.coldStats,
    load: core.load,
    resetToCold: core.resetToCold,
    crash,
    close: () => {
      core.stop();
      return http.close();
    },
  };
}
