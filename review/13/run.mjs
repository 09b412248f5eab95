/**
 * Replicas number the events of their streams by tokens: the ids increase, but
 * not by one.
 */
import {clearInterval, setInterval, setTimeout} from 'node:timers';
import {runCase} from '../lib-3/case.mjs';
import {keepAliveAgent, newRequestId, send} from '../lib-3/client.mjs';
import {SERVICES, config} from '../lib-3/config.mjs';
import {planDeployment, startGateway} from '../lib-3/gateway.mjs';
import {startReplica} from '../lib-3/replica.mjs';
import {startStore} from '../lib-3/store.mjs';

const ZONES = ['nord', 'werk', 'sued'];
const EVENTS = 33;
const EVENTS_PER_WRITE = 3;
const WRITE_MS = 30;
const TOKENS_PER_EVENT = 51;
const PREFILL_MS = 28;

/** Requests on each kept connection: the first one is a plain read. */
const STREAMS_PER_CLIENT = 4;
const CLIENTS = 3;

/** A breach: so many kept connections are closed without a whole answer. */
const ALLOWED = 3;

await runCase(import.meta.url, async ({record, cleanup, hasTrouble}) => {
  const store = await startStore();
  cleanup(store.close);
  const step = hasTrouble ? TOKENS_PER_EVENT : 1;

  const streamEvents = (req, res, {head, requestId}) => {
    record(`${head['x-response-seal']} runs ${requestId}`);
    res.writeHead(200, {...head, 'content-type': 'text/event-stream'});
    let piece = 0;
    const timer = setInterval(() => {
      const count = Math.min(EVENTS_PER_WRITE, EVENTS - piece);
      const events = Array.from({length: count}, (_, i) => {
        const number = piece + i + 1;
        return `id: ${number * step}\ndata: piece ${number} of ${EVENTS}\n\n`;
      });
      piece += count;
      res.write(events.join(''));
      if (piece === EVENTS) res.end();
      if (piece === EVENTS || res.destroyed) clearInterval(timer);
    }, WRITE_MS);
  };
  for (const zone of ZONES) {
    const model = await startReplica({
      id: `i-llm-${zone}`,
      run: (req, res, run) =>
        setTimeout(() => streamEvents(req, res, run), PREFILL_MS),
    });
    const app = await startReplica({
      id: `i-app-${zone}`,
      run: (req, res, {head}) => res.writeHead(200, head).end('status'),
    });
    cleanup(model.close);
    cleanup(app.close);
    store.put('servers', model.id, model.entry(SERVICES.model, zone, 11));
    store.put('servers', app.id, app.entry(SERVICES.app, zone));
  }
  store.put('config', 'main', config({stream: {resumable: false}}));

  const hosts = ZONES.map((_, i) => `127.0.13.${i + 1}`);
  const plan = await planDeployment(hosts);
  const gateways = [];
  for (const [i, zone] of ZONES.entries()) {
    const name = `front-${zone}-1`;
    const host = hosts[i];
    const gateway = await startGateway({name, host, store, zone, plan});
    cleanup(gateway.stop);
    gateways.push(gateway);
  }

  const cut = [];
  const askOnce = async (gateway, agent) => {
    const read = await send(gateway, {
      path: '/cufi504/2f',
      method: 'GET',
      agent,
    });
    const id = newRequestId();
    const answer = await send(gateway, {
      id,
      path: '/lohu930/2f',
      body: 'Summarise the day.',
      timeoutMs: 10_000,
      agent,
      headers: {
        'x-model': 'm',
        'x-token-counts': '5000,1650',
        'x-prompt-prefix': `5c1e07a2:40,${id}:4960`,
      },
    });
    const pieces = answer.body.split('\n\n').length - 1;
    const end = answer.complete ? 'whole' : `cut off (${answer.error})`;
    record(
      `client: read ${read.status}; on the same connection ${id}: ${answer.status}, ${pieces} of ${EVENTS} pieces, ${end}`,
    );
    const isWhole = answer.complete && answer.status === 200;
    if (!isWhole || pieces !== EVENTS) cut.push({id, pieces});
  };
  const clients = Array.from({length: CLIENTS}, async (_, i) => {
    for (let n = 0; n < STREAMS_PER_CLIENT; n += 1) {
      const agent = keepAliveAgent();
      await askOnce(gateways[i % gateways.length], agent);
      agent.destroy();
    }
  });
  await Promise.all(clients);
  record(`${cut.length} of ${CLIENTS * STREAMS_PER_CLIENT} streams were cut`);
  if (cut.length <= ALLOWED) return [];
  return cut.map(
    ({id, pieces}) =>
      `${id}: its kept connection was closed after ${pieces} of ${EVENTS} pieces of a sound replica's answer`,
  );
});
