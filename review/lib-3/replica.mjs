/** A stand-in for a replica of a plain service or of a model service. */
import {Buffer} from 'node:buffer';
import {createServer} from 'node:http';

let count = 0;

/**
 * Starts a replica. `run` answers a request that has begun to run. Requests for
 * another instance get 421, as the pages say; `admit` may turn one away first.
 */
export async function startReplica({
  id,
  host = '127.0.0.1',
  port: wantedPort = 0,
  run,
  admit,
}) {
  const runs = [];
  const arrivals = [];
  const server = createServer((req, res) => {
    const chunks = [];
    req.on('error', () => undefined);
    res.on('error', () => undefined);
    req.on('data', chunk => chunks.push(chunk));
    req.on('end', () => {
      const requestId = req.headers['x-attempt-id'];
      if (req.url === '/health') {
        res.writeHead(200, {'x-instance-id': id});
        return res.end();
      }
      if (req.url === '/-/report') {
        res.writeHead(200, {'content-type': 'application/json'});
        return res.end(JSON.stringify({born, waiting: 0, running: 0}));
      }
      if (req.headers['x-expected-instance'] !== id) {
        res.writeHead(421, {'x-instance-id': id, 'x-attempt-id': requestId});
        return res.end();
      }
      const body = Buffer.concat(chunks);
      const arrival = {id: requestId, server: id, at: Date.now(), url: req.url};
      arrivals.push(arrival);
      if (admit?.(req, res, arrival) === false) return undefined;
      count += 1;
      runs.push(arrival);
      const seal = `${id}.${requestId}.${count}`;
      const head = {'x-attempt-id': requestId, 'x-response-seal': seal};
      return run(req, res, {head, body, requestId, arrival});
    });
  });
  server.keepAliveTimeout = 30_000;
  const born = Date.now();
  await new Promise((resolve, reject) => {
    server.once('error', reject);
    server.listen(wantedPort, host, resolve);
  });
  const {port} = server.address();
  return {
    id,
    port,
    runs,
    arrivals,
    entry: (service, zone = 'nord', slots = 6) => ({
      service,
      address: `${host}:${port}`,
      zone,
      version: 'v1',
      slots,
      state: 'ready',
      coldRemainingMs: 0,
      sequence: 1,
      born,
    }),
    close: () => {
      server.close();
      server.closeAllConnections();
    },
  };
}
