/** Stand-in of the platform's metadata store: list, get, and watch calls. */
import {Buffer} from 'node:buffer';
import {createServer} from 'node:http';
import {clearTimeout, setTimeout} from 'node:timers';
import {URL} from 'node:url';

const HOST = '127.0.0.1';

/** Era that all responses name; this stand-in is never restored. */
const ERA = '1';

export class FakeStore {
  #revision = 100;
  /** Objects by kind, then by name. */
  #objects = new Map();
  /** All changes: {kind, revision, event}. */
  #history = [];
  #waiting = new Set();
  #server = createServer((req, res) => this.#handle(req, res));

  async start() {
    await new Promise(resolve => this.#server.listen(0, HOST, resolve));
    this.address = `${HOST}:${this.#server.address().port}`;
  }

  stop() {
    this.#server.close();
    this.#server.closeAllConnections();
  }

  put(kind, name, specification) {
    const revision = (this.#revision += 1);
    const kindObjects = this.#kind(kind);
    const createRevision =
      kindObjects.get(name)?.metadata.createRevision ?? revision;
    const metadata = {
      name,
      revision,
      createRevision,
      finalizers: [],
      deleting: false,
    };
    const object = {metadata, specification, status: null};
    kindObjects.set(name, object);
    this.#record(kind, {deleted: false, object});
  }

  remove(kind, name) {
    const object = this.#kind(kind).get(name);
    if (!object) return;
    this.#kind(kind).delete(name);
    const revision = (this.#revision += 1);
    const metadata = {...object.metadata, revision};
    this.#record(kind, {deleted: true, object: {...object, metadata}});
  }

  #kind(kind) {
    if (!this.#objects.has(kind)) this.#objects.set(kind, new Map());
    return this.#objects.get(kind);
  }

  #record(kind, event) {
    this.#history.push({kind, revision: this.#revision, event});
    [...this.#waiting].forEach(check => check());
  }

  #handle(req, res) {
    const url = new URL(req.url, 'http://store');
    const [, , , kind, name] = url.pathname.split('/');
    req.resume();
    if (req.method !== 'GET') return this.#send(res, 405, {});
    if (name !== undefined) {
      const object = this.#kind(kind).get(decodeURIComponent(name));
      return this.#send(res, object ? 200 : 404, object ?? {});
    }
    const watch = url.searchParams.get('watch');
    if (watch === null) {
      const items = [...this.#kind(kind).values()];
      return this.#send(res, 200, {items, more: false, at: this.#revision});
    }
    this.#watch(res, kind, Number(watch), url.searchParams.get('waitMs'));
  }

  #watch(res, kind, since, waitMs) {
    const finish = () => {
      clearTimeout(timer);
      this.#waiting.delete(check);
      const events = this.#eventsOf(kind, since);
      this.#send(res, 200, {events, at: this.#revision});
    };
    const check = () => {
      if (this.#eventsOf(kind, since).length > 0) finish();
    };
    const timer = setTimeout(finish, Number(waitMs ?? 0));
    this.#waiting.add(check);
    res.on('close', () => {
      clearTimeout(timer);
      this.#waiting.delete(check);
    });
    check();
  }

  #eventsOf(kind, since) {
    return this.#history
      .filter(change => change.kind === kind && change.revision > since)
      .map(({event}) => event);
  }

  #send(res, status, value) {
    const body = JSON.stringify(value);
    res.writeHead(status, {
      'content-type': 'application/json',
      'content-length': Buffer.byteLength(body),
      'store-era': ERA,
    });
    res.end(body);
  }
}
