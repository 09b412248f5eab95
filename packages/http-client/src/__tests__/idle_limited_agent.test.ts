import {createServer, request} from 'node:http';
import type {AddressInfo} from 'node:net';
import {test} from 'node:test';
import {expect} from 'earl';
import {idleLimitMs} from '../idle_limit_ms.js';
import {IdleLimitedAgent} from '../idle_limited_agent.js';

/** What becomes of the connection of a request, and of a second one after it. */
async function useTwice(keepAlive: string) {
  let connections = 0;
  const server = createServer((_req, res) => {
    res.writeHead(200, {'keep-alive': keepAlive, connection: 'keep-alive'});
    res.end('ok');
  });
  server.on('connection', () => (connections += 1));
  await new Promise<void>(resolve => server.listen(0, '127.0.0.1', resolve));
  const {port} = server.address() as AddressInfo;
  const agent = new IdleLimitedAgent();
  const send = () =>
    new Promise<void>(resolve => {
      const req = request({host: '127.0.0.1', port, agent}, res => {
        agent.recordResponse(res);
        res.resume();
        res.on('close', () => setImmediate(resolve));
      });
      req.end();
    });
  await send();
  const idle = Object.values(agent.freeSockets).flatMap(free => free ?? []);
  const idleLimits = idle.map(({timeout}) => timeout);
  await send();
  agent.destroy();
  server.closeAllConnections();
  server.close();
  return {connections, idleLimits};
}

test('a connection that its server is about to close is not used again', async () => {
  const {connections, idleLimits} = await useTwice('timeout=1');
  expect(connections).toEqual(2);
  expect(idleLimits).toEqual([]);
});

test('a connection that lies idle is closed before its server would', async () => {
  const {connections, idleLimits} = await useTwice('timeout=3');
  expect(connections).toEqual(1);
  expect(idleLimits).toEqual([2_000]);
});

test("the idle limit is a second below the server's own", () => {
  expect(idleLimitMs(undefined, 4_000)).toEqual(4_000);
  expect(idleLimitMs('timeout=3, max=100', 4_000)).toEqual(2_000);
  expect(idleLimitMs('max=100, timeout=3', 4_000)).toEqual(2_000);
  expect(idleLimitMs('timeout=60', 4_000)).toEqual(4_000);
  expect(idleLimitMs('timeout=0', 4_000)).toEqual(0);
  expect(idleLimitMs('soon', 4_000)).toEqual(4_000);
  expect(idleLimitMs(undefined, 700)).toEqual(700);
});
