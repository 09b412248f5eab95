import {createServer} from 'node:http';
import type {AddressInfo} from 'node:net';
import {test} from 'node:test';
import {expect} from 'earl';
import {createPlatformClient} from '../create_platform_client.js';

test('a conflict whose body is not JSON is a failure, not an exception', async () => {
  const server = createServer((_req, res) => res.writeHead(412).end('busy'));
  await new Promise<void>(resolve => {
    server.listen(0, '127.0.0.1', resolve);
  });
  const {port} = server.address() as AddressInfo;
  const client = createPlatformClient({
    baseUrl: `http://127.0.0.1:${port}`,
    timeoutMs: 1_000,
  });
  const written = await client.put('key', '{}', 3);
  server.closeAllConnections();
  server.close();
  expect(written.isErr() && written.error.type).toEqual('lost');
});
