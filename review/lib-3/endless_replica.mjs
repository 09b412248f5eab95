/**
 * A replica of the application in a process of its own. Once told to, it answers
 * one request of 20 with a body of one-byte chunks that never ends, until the
 * caller closes. Arguments: its id and the milliseconds that a request takes.
 */
import {Buffer} from 'node:buffer';
import {createServer} from 'node:http';
import process from 'node:process';
import {setImmediate, setTimeout} from 'node:timers';

const [id, workMs] = process.argv.slice(2);

/** x = 0.05 of its answers. */
const ENDLESS_ONE_OF = 20;

const BLOCK = Buffer.from('1\r\nx\r\n'.repeat(10_000));

/** Blocks written in a turn of the event loop. */
const BLOCKS_PER_TURN = 20;

let isInTrouble = false;
let count = 0;

process.on('message', () => {
  isInTrouble = true;
});

function writeEndless(socket) {
  for (let i = 0; i < BLOCKS_PER_TURN; i += 1) {
    if (socket.destroyed) return;
    if (!socket.write(BLOCK)) {
      socket.once('drain', () => writeEndless(socket));
      return;
    }
  }
  setImmediate(() => writeEndless(socket));
}

const server = createServer((req, res) => {
  req.resume();
  req.on('end', () => {
    const requestId = req.headers['x-attempt-id'];
    if (req.headers['x-expected-instance'] !== id) {
      res.writeHead(421, {'x-attempt-id': requestId});
      return res.end();
    }
    count += 1;
    const seal = `${id}.${requestId}.${count}`;
    const isEndless = isInTrouble && count % ENDLESS_ONE_OF === 0;
    process.send({type: 'run', requestId, isEndless});
    if (!isEndless) {
      return setTimeout(() => {
        const head = {'x-attempt-id': requestId, 'x-response-seal': seal};
        return res.writeHead(200, head).end('done');
      }, Number(workMs));
    }
    const {socket} = res;
    socket.on('error', () => undefined);
    socket.on('close', () =>
      process.send({type: 'closed', requestId, bytes: socket.bytesWritten}),
    );
    socket.write(
      `HTTP/1.1 200 OK\r\nX-Attempt-Id: ${requestId}\r\nX-Response-Seal: ${seal}\r\nTransfer-Encoding: chunked\r\n\r\n`,
    );
    return writeEndless(socket);
  });
});
server.keepAliveTimeout = 30_000;
server.listen(0, '127.0.0.1', () => {
  const {port} = server.address();
  process.send({type: 'listening', port, born: Date.now()});
});
process.on('disconnect', () => process.exit());
