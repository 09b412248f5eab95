import {test} from 'node:test';
import {runScoped} from '@figfall/task';
import {expect} from 'earl';
import {generate} from 'selfsigned';
import {createLinkPool} from '../transport/create_link_pool.js';
import {createLinkServer} from '../transport/create_link_server.js';
import type {LinkEvent} from '../transport/link_event.js';
import type {LinkTls} from '../transport/link_tls.js';

const HOST = '127.0.0.1';
const LINK_KEY = 'a key of sixteen or more';

async function createTls(): Promise<LinkTls> {
  const name = [{name: 'commonName', value: 'figfall'}];
  const pem = await generate(name, {keySize: 2_048, algorithm: 'sha256'});
  return {key: pem.private, cert: pem.cert, ca: pem.cert};
}

/** Connects an entry to an agent and returns the entry's first link event. */
async function firstLinkEvent(
  agentTls: LinkTls | undefined,
  entryTls: LinkTls | undefined,
): Promise<LinkEvent['type']> {
  const agent = await runScoped(
    createLinkServer({
      node: {id: 'agent', incarnation: '1', role: 'agent'},
      key: LINK_KEY,
      tls: agentTls,
      host: HOST,
      port: 0,
      onEvent: () => undefined,
    }),
  );
  const event = new Promise<LinkEvent['type']>(resolve => {
    void runScoped(
      createLinkPool({
        node: {id: 'entry', incarnation: '1', role: 'entry'},
        key: LINK_KEY,
        tls: entryTls,
        random: () => 0.5,
        onEvent: ({type}) => resolve(type),
      }),
    ).then(async pool => {
      const {port} = agent.value;
      pool.value.setPeers([{id: 'agent', host: HOST, port}]);
      await event;
      await pool.close();
    });
  });
  const type = await event;
  await agent.close();
  return type;
}

test('links are established over TCP and over TLS', async () => {
  const tls = await createTls();
  expect(await firstLinkEvent(undefined, undefined)).toEqual('link-up');
  expect(await firstLinkEvent(tls, tls)).toEqual('link-up');
});

test('a peer without a certificate from the same CA is rejected', async () => {
  const [own, other] = [await createTls(), await createTls()];
  expect(await firstLinkEvent(own, other)).toEqual('link-down');
  expect(await firstLinkEvent(own, undefined)).toEqual('link-down');
});
