import {createServer} from 'node:net';
import process from 'node:process';

let count = 0;

/** A loopback address that no other process of a case uses. */
export function loopbackHost() {
  count += 1;
  return `127.${110 + (process.pid % 100)}.${Math.floor(process.pid / 100) % 250}.${count}`;
}

/** A free port of an address. */
export function freePort(host) {
  return new Promise((resolve, reject) => {
    const server = createServer();
    server.once('error', reject);
    server.listen(0, host, () => {
      const {port} = server.address();
      server.close(() => resolve(port));
    });
  });
}
