import {connect} from 'node:net';
import {test} from 'node:test';
import {createFailure} from '@figfall/decisions';
import {runScoped} from '@figfall/task';
import {expect} from 'earl';
import {ok} from 'neverthrow';
import type {CallerHandler} from '../server/caller_handler.js';
import {createCallerServer} from '../server/create_caller_server.js';

const HANDLER: CallerHandler = {
  checkAccess: ({workspace}) =>
    workspace === 'known'
      ? undefined
      : createFailure('unknown-workspace', 'There is no such workspace.'),
  complete: (req, sink) => {
    sink.writeTokens(['a', 'b']);
    if (req.prompt === 'fail') {
      return sink.fail(createFailure('backend-lost', 'lost', {ran: 'yes'}));
    }
    sink.complete();
  },
  callService: async ({idempotencyKey}) =>
    ok({
      status: 201,
      contentType: 'text/plain',
      body: Buffer.from(idempotencyKey?.key ?? 'no key'),
    }),
  models: () => ['m'],
  isReady: () => true,
  metrics: async () => '',
};

const HEADERS = {
  authorization: 'Bearer token',
  'x-figfall-workspace': 'known',
};
const COMPLETIONS = '/v1/completions';
const VALID_BODY = JSON.stringify({model: 'm', prompt: 'p'});

async function withServer(
  run: (url: string, port: number) => Promise<void>,
): Promise<void> {
  const server = await runScoped(
    createCallerServer({
      host: '127.0.0.1',
      port: 0,
      handler: HANDLER,
      maxBodyBytes: 1_000,
      bodyTimeoutMs: 100,
    }),
  );
  const {port} = server.value;
  try {
    await run(`http://127.0.0.1:${port}`, port);
  } finally {
    await server.close();
  }
}

test('invalid requests get an error that says that nothing ran', () =>
  withServer(async url => {
    const cases: [string, Record<string, string>, string, number, string][] = [
      [COMPLETIONS, {}, VALID_BODY, 401, 'unauthorized'],
      [
        COMPLETIONS,
        {authorization: 'Bearer t'},
        VALID_BODY,
        400,
        'bad-request',
      ],
      [
        COMPLETIONS,
        {...HEADERS, 'x-figfall-workspace': 'other'},
        VALID_BODY,
        403,
        'unknown-workspace',
      ],
      [COMPLETIONS, HEADERS, '{"model":', 400, 'bad-request'],
      [COMPLETIONS, HEADERS, '{"prompt":"p"}', 400, 'bad-request'],
      [COMPLETIONS, HEADERS, '{"model":1,"prompt":"p"}', 400, 'bad-request'],
      [COMPLETIONS, HEADERS, 'x'.repeat(2_000), 413, 'body-too-large'],
      [
        COMPLETIONS,
        {...HEADERS, 'x-figfall-timeout-ms': '-1'},
        VALID_BODY,
        400,
        'bad-request',
      ],
      [
        '/v1/services/s/x',
        {...HEADERS, 'idempotency-key': 'undated'},
        '',
        400,
        'bad-request',
      ],
      ['/v1/nothing', HEADERS, '', 404, 'not-found'],
    ];
    for (const [path, headers, body, status, kind] of cases) {
      const res = await fetch(url + path, {method: 'POST', headers, body});
      const {error} = (await res.json()) as {
        error: {kind: string; ran: string; message: string};
      };
      expect([res.status, error.kind, error.ran]).toEqual([status, kind, 'no']);
      expect(error.message.length > 10).toEqual(true);
    }
  }));

test('a body that takes too long is rejected', () =>
  withServer(async (_url, port) => {
    const socket = connect(port, '127.0.0.1');
    const head = Object.entries(HEADERS).map(([k, v]) => `${k}: ${v}\r\n`);
    socket.write(
      `POST ${COMPLETIONS} HTTP/1.1\r\nhost: x\r\ncontent-length: 10\r\n${head.join('')}\r\n{`,
    );
    let text = '';
    for await (const chunk of socket) text += String(chunk);
    expect(text.startsWith('HTTP/1.1 408')).toEqual(true);
    expect(text.includes('"kind":"body-timeout"')).toEqual(true);
  }));

test('a stream ends with [DONE], a failed one with an error event', () =>
  withServer(async url => {
    const send = async (prompt: string, stream: boolean) => {
      const body = JSON.stringify({model: 'm', prompt, stream});
      const options = {method: 'POST', headers: HEADERS, body};
      return (await fetch(url + COMPLETIONS, options)).text();
    };
    const whole = await send('p', true);
    expect(whole.endsWith('data: [DONE]\n\n')).toEqual(true);
    expect(whole.includes('"completion_tokens":2')).toEqual(true);
    const failedStream = await send('fail', true);
    expect(failedStream.includes('event: error\ndata: {"error"')).toEqual(true);
    expect(failedStream.includes('[DONE]')).toEqual(false);
    const json = JSON.parse(await send('p', false)) as {
      choices: [{text: string}];
    };
    expect(json.choices[0].text).toEqual('ab');
    const failed = JSON.parse(await send('fail', false)) as {
      error: {ran: string};
    };
    expect(failed.error.ran).toEqual('yes');
  }));

test('a key that is a UUID of version 7 needs no creation header', () =>
  withServer(async url => {
    const key = '01938c7e-5f00-7abc-8abc-0123456789ab';
    const res = await fetch(`${url}/v1/services/booking/dosing`, {
      method: 'POST',
      headers: {...HEADERS, 'idempotency-key': key},
      body: 'x',
    });
    expect(await res.text()).toEqual(key);
  }));
