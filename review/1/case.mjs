/**
 * Streams through one gateway, of which one has neither a length nor chunks.
 * The gateway's process is killed in the middle of them.
 */
import {randomBytes} from 'node:crypto';
import {setTimeout as sleep} from 'node:timers/promises';
import {sendAttempt} from '../lib/client.mjs';
import {CONFIG, HOST, KEY} from '../lib/config.mjs';
import {FakeReplica, answerHeaders} from '../lib/replica.mjs';
import {runCase} from '../lib/run_case.mjs';

const REPLICAS = 4;
const STREAMS = 20;
const EVENTS = 33;
const EVENT_INTERVAL_MS = 60;

/** Milliseconds from the first stream to the kill, in the middle of all. */
const KILL_AFTER_MS = 1_000;

function eventText(id) {
  return `id: ${id}\ndata: ${randomBytes(24).toString('hex')}\n\n`;
}

function ids(text) {
  return [...text.matchAll(/^id: (\d+)$/gm)].map(([, id]) => Number(id));
}

await runCase(import.meta.url, {gateways: 3, config: CONFIG}, async ctx => {
  const {store, timers, gateways, record} = ctx;
  /** What the replica has sent, by attempt. */
  const written = new Map();

  const run = async (req, res, body, replica) => {
    const attemptId = req.headers['x-attempt-id'];
    const isUnframed = req.url.endsWith('/unframed');
    const head = {
      ...answerHeaders(req),
      'content-type': 'text/event-stream',
      'x-weight-versions': '1',
    };
    // Without chunks, Node.js ends such a response with its connection.
    if (isUnframed) res.useChunkedEncodingByDefault = false;
    res.writeHead(200, head);
    const isGone = () => res.destroyed || res.socket?.destroyed;
    const from = Number(req.headers['last-event-id'] ?? 0) + 1;
    for (let id = from; id <= EVENTS && !isGone(); id += 1) {
      const text = eventText(id);
      written.set(attemptId, (written.get(attemptId) ?? '') + text);
      res.write(text);
      await sleep(EVENT_INTERVAL_MS);
    }
    record('run ended', {attemptId, replica: replica.id, whole: !isGone()});
    res.end();
  };
  for (let i = 0; i < REPLICAS; i += 1) {
    const replica = new FakeReplica({
      store,
      timers,
      service: 'pool',
      zone: ['nord', 'werk', 'sued'][i % 3],
      slots: 11,
      host: ctx.replicaHost(i),
      run,
      onArrival: arrival => record('arrival', arrival),
    });
    ctx.replicas.push(replica);
    await replica.start();
  }
  await Promise.all(gateways.map(gateway => gateway.start()));

  const [gateway] = gateways;
  const sent = Array.from({length: STREAMS}, (_, i) =>
    sendAttempt({
      gateway,
      host: HOST,
      key: KEY,
      path: `/summary/${i}/${i === 0 ? 'unframed' : 'chunked'}`,
      body: 'Summarise the day.',
      headers: {
        'x-model': 'm',
        'x-token-counts': '2000,1650',
        'x-prompt-prefix': `5c1e07a2:40,${randomBytes(4).toString('hex')}:1960`,
      },
    }),
  );
  if (ctx.hasTrouble) {
    await sleep(KILL_AFTER_MS);
    record('kill', {gateway: gateway.name, signal: 'SIGKILL'});
    gateway.kill('SIGKILL');
  }
  const seen = await Promise.all(sent);
  const verdicts = seen.map(({attemptId, path, status, ended, body, error}) => {
    const events = ids(body).length;
    const isWhole = status === 200 && ids(body).at(-1) === EVENTS;
    const looksComplete = status === 200 && ended === 'complete';
    const isBroken = looksComplete && !isWhole;
    const fields = {attemptId, path, status, ended, error, events};
    record('answer', {...fields, whole: isWhole, broken: isBroken});
    return {isBroken, isWhole};
  });
  if (!ctx.hasTrouble && verdicts.some(({isWhole}) => !isWhole)) {
    throw new Error('A stream was not whole without any disruption.');
  }
  return verdicts.some(({isBroken}) => isBroken);
});
