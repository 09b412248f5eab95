import {createServer} from 'node:http';
import {performance} from 'node:perf_hooks';
import {clearTimeout, setTimeout} from 'node:timers';
import {URL} from 'node:url';

const HOST = '127.0.0.1';

/** `historyS` of the sites. */
const HISTORY_MS = 20_000;

/**
 * A stand-in of the platform's store: lists and watches over HTTP/1.1, as the
 * protocol page says. Each gateway gets an address of its own, so that it can be
 * cut off alone.
 */
export async function startStore({historyMs = HISTORY_MS} = {}) {
  const objects = new Map();
  const history = [];
  const watches = new Set();
  const silent = new Set();
  const busy = new Set();
  const servers = [];
  let revision = 1;

  /** The first revision from which changes are known: those of `historyMs`. */
  const oldestRevision = () => {
    const since = performance.now() - historyMs;
    const dropped = history.filter(({at}) => at < since);
    return dropped.at(-1)?.revision ?? 0;
  };

  const write = (kind, name, specification, deleted) => {
    revision += 1;
    const object = {metadata: {name, revision}, specification};
    if (deleted) objects.delete(`${kind}/${name}`);
    else objects.set(`${kind}/${name}`, {kind, object});
    const at = performance.now();
    history.push({kind, revision, object, deleted, at});
    [...watches].forEach(wake => wake());
    return revision;
  };

  const send = (res, body) => {
    res.writeHead(200, {'content-type': 'application/json', 'store-era': '1'});
    res.end(JSON.stringify(body));
  };

  const watch = (owner, res, kind, since, waitMs) => {
    const news = () =>
      history.filter(change => change.kind === kind && change.revision > since);
    const answer = () => {
      watches.delete(wake);
      clearTimeout(timer);
      if (silent.has(owner)) return;
      if (busy.has(owner)) {
        res.writeHead(503).end();
        return;
      }
      if (since < oldestRevision()) {
        res.writeHead(410, {'store-era': '1'}).end();
        return;
      }
      const events = news().map(({object, deleted}) => ({object, deleted}));
      send(res, {events, at: revision});
    };
    const wake = () => {
      const mayAnswer = busy.has(owner) || since < oldestRevision();
      if (mayAnswer || news().length > 0) answer();
    };
    const timer = setTimeout(answer, waitMs);
    watches.add(wake);
    wake();
  };

  const handle = (owner, req, res) => {
    req.resume();
    if (silent.has(owner)) return;
    if (busy.has(owner)) {
      res.writeHead(503).end();
      return;
    }
    const url = new URL(req.url, 'http://store');
    const kind = /^\/-\/objects\/(\w+)$/.exec(url.pathname)?.[1];
    if (!kind) {
      res.writeHead(404).end();
      return;
    }
    const since = url.searchParams.get('watch');
    if (since !== null) {
      const waitMs = Number(url.searchParams.get('waitMs'));
      watch(owner, res, kind, Number(since), waitMs);
      return;
    }
    const items = [...objects.values()]
      .filter(entry => entry.kind === kind)
      .map(({object}) => object);
    send(res, {items, more: false, at: revision});
  };

  return {
    /** Opens the address at which the gateway `owner` reaches the store. */
    open: async owner => {
      const server = createServer((req, res) => handle(owner, req, res));
      await new Promise(resolve => {
        server.listen(0, HOST, resolve);
      });
      servers.push(server);
      return `${HOST}:${server.address().port}`;
    },
    put: (kind, name, value) => write(kind, name, value, false),
    remove: (kind, name) => write(kind, name, undefined, true),
    /** From now on these gateways get no answers, over any connection. */
    silence: owners => owners.forEach(owner => silent.add(owner)),
    /** From now on these gateways get 503, also on the watches that wait. */
    turnAway: owners => owners.forEach(owner => busy.add(owner)),
    /** Serves all gateways again. */
    serveAll: () => busy.clear(),
    close: () =>
      servers.forEach(server => {
        server.close();
        server.closeAllConnections();
      }),
  };
}
