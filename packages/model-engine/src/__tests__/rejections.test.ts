import {createServer} from 'node:http';
import {once} from 'node:events';
import type {AddressInfo} from 'node:net';
import {test} from 'node:test';
import {expect} from 'earl';
import {createModelEngineClient} from '../create_model_engine_client.js';

/** Whether a request ran, as reported after an engine's response with a status. */
async function ranAfter(status: number): Promise<string | undefined> {
  const server = createServer((_req, res) => {
    res.writeHead(status).end();
  });
  server.listen(0, '127.0.0.1');
  await once(server, 'listening');
  const {port} = server.address() as AddressInfo;
  const client = createModelEngineClient({
    baseUrl: `http://127.0.0.1:${port}`,
    timeoutMs: 5_000,
    streamTimeoutMs: 5_000,
  });
  const events = client.generate({
    kind: 'completion',
    requestId: 'r1',
    model: 'm',
    body: Buffer.from('{}'),
    priority: 0,
    resumeIndex: 0,
    signal: new AbortController().signal,
  });
  let ran: string | undefined;
  for await (const event of events) {
    if (event.type === 'failed') ran = event.failure.ran;
  }
  server.closeAllConnections();
  server.close();
  return ran;
}

// Guards against an engine's own error that callers read as "has not run".
[500, 503].forEach(status => {
  test(`an engine that answers ${status} may have run the request (REFUSED)`, async () => {
    expect(await ranAfter(status)).toEqual('unknown');
  });
});

test('an engine that answers 400 has not run the request', async () => {
  expect(await ranAfter(400)).toEqual('no');
});
