/** A small stand-in for the platform's metadata store: list and watch. */
import {createServer} from 'node:http';
import {clearTimeout, setTimeout} from 'node:timers';
import {URL} from 'node:url';

const PATH = /^\/-\/objects\/(\w+)$/;

/** Starts a store on a free loopback port. */
export async function startStore() {
  const objects = new Map();
  const history = [];
  const waiting = new Set();
  let revision = 1;

  const write = (kind, name, specification, deleted) => {
    revision += 1;
    const metadata = {
      name,
      revision,
      createRevision: revision,
      finalizers: [],
      deleting: false,
    };
    const object = {metadata, specification, status: null};
    history.push({kind, revision, event: {object, deleted}});
    if (deleted) objects.delete(`${kind}/${name}`);
    else objects.set(`${kind}/${name}`, {kind, object});
    [...waiting].forEach(wake => wake());
    return revision;
  };

  const send = (res, body) => {
    res.writeHead(200, {'content-type': 'application/json', 'store-era': 1});
    res.end(JSON.stringify(body));
  };

  const server = createServer((req, res) => {
    const url = new URL(req.url, 'http://store');
    const kind = PATH.exec(url.pathname)?.[1];
    if (!kind) return res.writeHead(404).end();
    const since = url.searchParams.get('watch');
    if (since === null) {
      const items = [...objects.values()]
        .filter(entry => entry.kind === kind)
        .map(entry => entry.object);
      return send(res, {items, more: false, at: revision});
    }
    const pending = () =>
      history.filter(
        change => change.kind === kind && change.revision > Number(since),
      );
    const answer = () => {
      waiting.delete(wake);
      clearTimeout(timer);
      send(res, {events: pending().map(({event}) => event), at: revision});
    };
    const wake = () => {
      if (pending().length > 0) answer();
    };
    const timer = setTimeout(answer, Number(url.searchParams.get('waitMs')));
    waiting.add(wake);
    res.on('close', () => {
      waiting.delete(wake);
      clearTimeout(timer);
    });
    wake();
  });
  await new Promise(resolve => {
    server.listen(0, '127.0.0.1', resolve);
  });
  return {
    address: `127.0.0.1:${server.address().port}`,
    put: (kind, name, value) => write(kind, name, value, false),
    remove: (kind, name) => write(kind, name, null, true),
    close: () => {
      server.close();
      server.closeAllConnections();
    },
  };
}
