import {once} from 'node:events';
import {connect} from 'node:net';
import type {Socket} from 'node:net';
import {test} from 'node:test';
import {setImmediate as nextTurn} from 'node:timers/promises';
import {runScoped} from '@figfall/task';
import {expect} from 'earl';
import {ok} from 'neverthrow';
import type {CallerHandler} from '../server/caller_handler.js';
import {createCallerServer} from '../server/create_caller_server.js';

const BODY = JSON.stringify({model: 'm', prompt: 'p'});

function requestText(path: string): string {
  return `POST ${path} HTTP/1.1\r\nHost: a\r\nAuthorization: Bearer t\r\nX-Figfall-Workspace: w\r\nContent-Type: application/json\r\nContent-Length: ${BODY.length}\r\n\r\n${BODY}`;
}

/** Ways in which a caller leaves. */
const LEAVES: Readonly<Record<string, (socket: Socket) => void>> = {
  FIN: socket => void socket.destroy(),
  reset: socket => void socket.resetAndDestroy(),
  'half close': socket => void socket.end(),
};

const PATHS = ['/v1/completions', '/v1/services/s/x'];

async function withServer(
  handler: Partial<CallerHandler>,
  use: (port: number) => Promise<void>,
): Promise<void> {
  const server = await runScoped(
    createCallerServer({
      host: '127.0.0.1',
      port: 0,
      handler: {
        checkAccess: () => undefined,
        complete: () => undefined,
        callService: async () =>
          ok({status: 200, contentType: 'text/plain', body: Buffer.alloc(0)}),
        models: () => [],
        isReady: () => true,
        metrics: async () => '',
        ...handler,
      },
    }),
  );
  try {
    await use(server.value.port);
  } finally {
    await server.close();
  }
}

async function openConnection(port: number): Promise<Socket> {
  const socket = connect(port, '127.0.0.1');
  socket.on('error', () => undefined);
  socket.resume();
  await once(socket, 'connect');
  return socket;
}

/** Resolves once the server has answered a later request on a new connection. */
async function untilServed(port: number): Promise<void> {
  const socket = await openConnection(port);
  socket.write(requestText('/v1/services/probe/x'));
  await once(socket, 'data');
  socket.destroy();
}

Object.entries(LEAVES).forEach(([how, leave]) => {
  PATHS.forEach(path => {
    test(`a request to ${path} whose caller has left by ${how} before it was read is not started (GONE)`, async () => {
      const started: string[] = [];
      const handler: Partial<CallerHandler> = {
        complete: () => void started.push('completion'),
        callService: async ({service}) => {
          if (service !== 'probe') started.push(service);
          return ok({
            status: 200,
            contentType: 'text/plain',
            body: Buffer.alloc(0),
          });
        },
      };
      await withServer(handler, async port => {
        const socket = await openConnection(port);
        socket.write(requestText(path));
        leave(socket);
        await untilServed(port);
      });
      expect(started).toEqual([]);
    });
  });
});

test('a caller that leaves before anyone listens is still noticed (GONE)', async () => {
  let isNoticed = false;
  let isDone: () => void = () => undefined;
  const done = new Promise<void>(resolve => (isDone = resolve));
  let isStarted: () => void = () => undefined;
  const started = new Promise<void>(resolve => (isStarted = resolve));
  const handler: Partial<CallerHandler> = {
    complete: (_req, sink) => {
      isStarted();
      // The entry registers its listener as it handles a message, later.
      void (async () => {
        while (!hasLeft) await nextTurn();
        await untilServed(serverPort);
        sink.onDisconnect(() => (isNoticed = true));
        await nextTurn();
        isDone();
      })();
    },
  };
  let hasLeft = false;
  let serverPort = 0;
  await withServer(handler, async port => {
    serverPort = port;
    const socket = await openConnection(port);
    socket.write(requestText('/v1/completions'));
    await started;
    socket.destroy();
    hasLeft = true;
    await done;
  });
  expect(isNoticed).toEqual(true);
});
