/** Stand-in of a replica: one process of a service at one address. */
import {createServer} from 'node:http';
import {randomBytes} from 'node:crypto';

/** Milliseconds after which the store removes a silent replica's entry. */
const ENTRY_EXPIRY_MS = 3_600;

export class FakeReplica {
  /** Sockets that are open now. */
  #sockets = new Set();
  #server;

  /**
   * `run(req, res, body, replica)` answers a request that was accepted;
   * `onArrival(arrival)` is called for each request that arrives.
   */
  constructor({store, service, zone, slots, host, timers, run, onArrival}) {
    Object.assign(this, {store, service, zone, slots, host, timers, run});
    this.onArrival = onArrival;
    this.port = 0;
    this.isUp = false;
  }

  /** Starts an incarnation and registers it, under a new id unless given. */
  async start(id = `i-${randomBytes(4).toString('hex')}`) {
    this.id = id;
    this.born = Date.now();
    this.#server = createServer((req, res) => this.#accept(req, res));
    this.#server.keepAliveTimeout = 15_000;
    this.#server.on('connection', socket => {
      this.#sockets.add(socket);
      socket.on('error', () => undefined);
      socket.on('close', () => this.#sockets.delete(socket));
    });
    await new Promise(resolve =>
      this.#server.listen(this.port, this.host, resolve),
    );
    this.port = this.#server.address().port;
    this.isUp = true;
    this.register();
  }

  register() {
    this.store.put('servers', this.id, {
      service: this.service,
      address: `${this.host}:${this.port}`,
      zone: this.zone,
      version: 'v1',
      slots: this.slots,
      state: 'ready',
      coldRemainingMs: 0,
      stage: 'both',
      models: [],
      sequence: 1,
      born: this.born,
    });
  }

  /**
   * Crashes: all connections are reset, and the entry expires. After `backMs`
   * the replica starts again at its address, under a new id, or the same one if
   * `keepsId` is set.
   */
  crash({backMs, keepsId = false}) {
    if (!this.isUp) return;
    this.stop();
    const {id, born} = this;
    this.timers.set(() => {
      if (this.id !== id || this.born === born) {
        this.store.remove('servers', id);
      }
    }, ENTRY_EXPIRY_MS);
    this.timers.set(() => {
      void this.start(keepsId ? id : undefined);
    }, backMs);
  }

  stop() {
    this.isUp = false;
    this.#server.close();
    [...this.#sockets].forEach(socket => socket.resetAndDestroy());
  }

  #accept(req, res) {
    const chunks = [];
    req.on('error', () => undefined);
    res.on('error', () => undefined);
    req.on('data', chunk => chunks.push(chunk));
    req.on('end', () => this.#answer(req, res, chunks));
  }

  #answer(req, res, chunks) {
    if (req.url === '/-/report' || req.url === '/health') {
      res.writeHead(200, {
        'content-type': 'application/json',
        'x-instance-id': this.id,
      });
      return res.end(JSON.stringify({busy: false, born: this.born}));
    }
    const attemptId = req.headers['x-attempt-id'];
    const expected = req.headers['x-expected-instance'];
    const isExpected = expected === undefined || expected === this.id;
    this.onArrival?.({
      replica: this.id,
      attemptId,
      target: req.url,
      isExpected,
    });
    if (!isExpected) {
      res.writeHead(421, {'x-instance-id': this.id, 'content-length': 0});
      return res.end();
    }
    void this.run(req, res, chunks.join(''), this);
  }
}

/** Headers of a replica's own answer to a request. */
export function answerHeaders(req) {
  return {
    'x-attempt-id': req.headers['x-attempt-id'],
    'x-response-seal': randomBytes(12).toString('hex'),
  };
}
