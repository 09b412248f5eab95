import {Buffer} from 'node:buffer';
import {performance} from 'node:perf_hooks';
import {setTimeout as sleep} from 'node:timers/promises';
import {sendRequest} from '../lib-2/client.mjs';
import {buildConfig, buildEntry, HOST} from '../lib-2/config.mjs';
import {planGateways, startGateway} from '../lib-2/gateway.mjs';
import {startReplica} from '../lib-2/replica.mjs';
import {runCase} from '../lib-2/run_case.mjs';
import {startStore} from '../lib-2/store.mjs';

const KEY = 'n2ctnfzs989anu6wsjnb';

/** Bookings and status reads: a new one of each every so many milliseconds. */
const INTERVAL_MS = 150;
const PLAY_MS = 20_000;
const TROUBLE_AT_MS = 4_000;
/** Answers without end, one after the other: 2 in 100 of all summaries at most. */
const GARBLED_MAX = 2;

/** Route's time-out of bookings and status reads, and the rule's margin. */
const ROUTE_TIMEOUT_MS = 4_000;
const MARGIN_MS = 500;

/** Unanswered requests at the time-out from which on the rule counts. */
const UNANSWERED_MIN = 8;

const WORK_MS = 60;
const STREAM_EVENTS = 20;
const STREAM_INTERVAL_MS = 15;

/** How long a client waits, beyond the deadline, to see when an answer comes. */
const GRACE_MS = 20_000;

/** Writes bytes that are no event, each as a chunk of its own, without end. */
function sendEndlessly({res, echo, seal}) {
  let sentBytes = 0;
  const piece = Buffer.from('1\r\nx\r\n'.repeat(40_000));
  const sendMore = () => {
    while (!res.socket?.destroyed) {
      sentBytes += piece.length;
      if (!res.socket.write(piece)) return;
    }
  };
  res.writeHead(200, {
    ...echo,
    'x-response-seal': seal,
    'content-type': 'text/event-stream',
    'transfer-encoding': 'chunked',
  });
  res.flushHeaders();
  res.socket.on('drain', sendMore);
  res.socket.on('error', () => undefined);
  sendMore();
  return () => sentBytes;
}

async function sendStream({res, echo, seal}) {
  res.writeHead(200, {
    ...echo,
    'x-response-seal': seal,
    'content-type': 'text/event-stream',
  });
  for (let i = 0; i < STREAM_EVENTS && !res.destroyed; i += 1) {
    await sleep(STREAM_INTERVAL_MS);
    res.write(`id: ${i}\ndata: piece ${i}\n\n`);
  }
  res.end();
}

await runCase(async ({folder, hasTrouble, record, onEnd}) => {
  const store = await startStore();
  onEnd(() => store.close());
  let isGarbleDue = false;
  const garbled = [];
  const runs = [];
  const models = await Promise.all(
    ['i-7f3a91c2', 'i-8a0b11d3', 'i-903c22e4'].map(id =>
      startReplica({
        id,
        slots: 11,
        run: call => {
          runs.push(call.attemptId);
          if (!isGarbleDue) return sendStream(call);
          isGarbleDue = false;
          const answer = {at: performance.now(), isOver: false};
          call.res.once('close', () => (answer.isOver = true));
          record(`${id} answers ${call.attemptId} with bytes without end`);
          answer.sent = sendEndlessly(call);
          garbled.push(answer);
          return undefined;
        },
      }),
    ),
  );
  const apps = await Promise.all(
    ['i-a1', 'i-a2', 'i-a3'].map(id =>
      startReplica({
        id,
        slots: 6,
        run: async ({res, echo, seal, attemptId}) => {
          runs.push(attemptId);
          await sleep(WORK_MS);
          const head = {...echo, 'x-response-seal': seal, 'content-length': 2};
          res.writeHead(200, head).end('ok');
        },
      }),
    ),
  );
  [...models, ...apps].forEach(replica => onEnd(() => replica.close()));
  store.put('config', 'main', buildConfig({version: 1, keys: {lab: [KEY]}}));
  models.forEach(({id, address, slots}) =>
    store.put(
      'servers',
      id,
      buildEntry({service: 'figfall-pool', address, slots}),
    ),
  );
  apps.forEach(({id, address, slots}) =>
    store.put(
      'servers',
      id,
      buildEntry({service: 'einspeise-app', address, slots}),
    ),
  );
  const [plan] = await planGateways(1);
  const storeAddress = await store.open(plan.name);
  const gateway = await startGateway(plan, {folder, storeAddress});
  onEnd(() => gateway.kill());

  const outcomes = [];
  let count = 0;
  const send = (kind, options) => {
    count += 1;
    const call = {id: `${kind}-${count}`, key: KEY, host: HOST, ...options};
    return sendRequest(gateway, {...call, graceMs: GRACE_MS}).then(outcome => {
      outcomes.push({kind, ...outcome});
      return outcome;
    });
  };
  const sendSummary = () =>
    send('summary', {
      path: '/summary/2f',
      body: 'Summarise the day.',
      deadlineMs: 10_000,
      headers: {
        'x-model': 'm',
        'x-token-counts': '5000,100',
        'x-prompt-prefix': '5c1e07a2:40,91bd3f06:4960',
      },
    });

  const startedAt = performance.now();
  const pending = [];
  while (performance.now() - startedAt < PLAY_MS) {
    const isDue =
      hasTrouble &&
      garbled.length < GARBLED_MAX &&
      garbled.every(({isOver}) => isOver) &&
      performance.now() - startedAt > TROUBLE_AT_MS;
    if (isDue) isGarbleDue = true;
    pending.push(sendSummary());
    pending.push(
      send('booking', {path: '/booking/1', body: 'dose', deadlineMs: 4_000}),
    );
    pending.push(
      send('status', {method: 'GET', path: '/status/1', deadlineMs: 4_000}),
    );
    await sleep(INTERVAL_MS);
  }
  await Promise.all(pending);

  const plain = outcomes.filter(({kind}) => kind !== 'summary');
  const unanswered = plain.filter(({tookMs}) => tookMs > ROUTE_TIMEOUT_MS);
  const late = unanswered.filter(
    ({tookMs}) => tookMs > ROUTE_TIMEOUT_MS + MARGIN_MS,
  );
  outcomes
    .toSorted((a, b) => a.sentAt - b.sentAt)
    .forEach(({id, sentAt, tookMs, status, isComplete, error}) =>
      record(
        `${Math.round(sentAt - startedAt)} ms: ${id} status ${status ?? '-'} ${isComplete ? 'whole' : 'not whole'} after ${tookMs} ms, ${runs.includes(id) ? 'run' : 'not run'} ${error ?? ''}`,
      ),
    );
  garbled.forEach(({at, sent}) =>
    record(
      `bytes without end: from ${Math.round(at - startedAt)} ms, ${sent()} bytes sent`,
    ),
  );
  record(`runs: ${runs.length}`);
  record(
    `longest time to an answer of a booking or read: ${Math.max(...plain.map(({tookMs}) => tookMs))} ms`,
  );
  record(
    `bookings and reads: ${plain.length}; unanswered at the route's time-out: ${unanswered.length}; of these unanswered ${MARGIN_MS} ms later: ${late.length}`,
  );
  return (
    unanswered.length >= UNANSWERED_MIN && late.length > unanswered.length / 2
  );
});
