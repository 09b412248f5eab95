import {createServer} from 'node:http';

const HOST = '127.0.0.1';

function readBody(req) {
  return new Promise(resolve => {
    let body = '';
    req.on('data', chunk => (body += chunk));
    req.on('end', () => resolve(body));
  });
}

/**
 * A stand-in of a replica. It answers for itself if a request is not its own or
 * no slot is free; `run` does the work of a request that it runs.
 */
export async function startReplica({id, slots, run, onArrival, onFull}) {
  let running = 0;
  let seals = 0;
  const server = createServer(async (req, res) => {
    const body = await readBody(req);
    const attemptId = req.headers['x-attempt-id'];
    if (req.url === '/-/report') {
      res.writeHead(200, {'content-type': 'application/json'});
      res.end(JSON.stringify({running, waiting: 0, born: 1_700_000_000_000}));
      return;
    }
    const echo = {'x-attempt-id': attemptId};
    if (req.headers['x-expected-instance'] !== id) {
      res.writeHead(421, {...echo, 'content-length': 0}).end();
      return;
    }
    onArrival?.({attemptId, req, res});
    if (running >= slots) {
      const head = {...echo, 'x-not-executed': '1', 'content-length': 0};
      res.writeHead(503, head).end();
      onFull?.({attemptId, req, res});
      return;
    }
    running += 1;
    seals += 1;
    res.once('close', () => (running -= 1));
    await run({req, res, body, attemptId, echo, seal: `${id}.${seals}`});
  });
  server.keepAliveTimeout = 60_000;
  await new Promise(resolve => {
    server.listen(0, HOST, resolve);
  });
  return {
    id,
    slots,
    address: `${HOST}:${server.address().port}`,
    close: () => {
      server.close();
      server.closeAllConnections();
    },
  };
}
