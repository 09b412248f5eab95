/**
 * Plays prompts of which one part crashes each replica that begins to write an
 * answer on it, beside sound prompts that share their caller and first parts.
 */
import {clearInterval, setInterval, setTimeout} from 'node:timers';
import {setTimeout as sleep} from 'node:timers/promises';
import {newRequestId, send} from './client.mjs';
import {SERVICES, config} from './config.mjs';
import {planDeployment, startGateway} from './gateway.mjs';
import {startReplica} from './replica.mjs';
import {startStore} from './store.mjs';

const ZONES = ['nord', 'werk', 'sued'];
const REPLICAS_PER_ZONE = 2;
const EVENTS = 33;
const EVENT_MS = 40;
const PREFILL_MS = 28;
const HEARTBEAT_MS = 1_200;

/** Milliseconds after which a crashed replica is back, at the same address. */
const RESTART_MS = 3_000;

const CONTACT_TIMEOUT_MS = 3_000;
const CRASHES_BEFORE_BOUND = 5;
const ALLOWED_AFTER = 3;

const SOUND_INTERVAL_MS = 100;
const BAD_PART = 'bad0bad0';
const SOUND_PART = 'c0ffee00';

/** Returns the parts of a prompt in order, the last one its own. */
function promptParts(count, lastShared, own) {
  const first = Array.from({length: count - 2}, (_, i) =>
    (0xa0000000 + i).toString(16),
  );
  return [...first, lastShared].map(id => `${id}:40`).concat(`${own}:4000`);
}

/**
 * Plays the case and returns the breaches of BUDGET. `parts` is the number of
 * parts of each prompt; the crashing one is the last but one. `burst` prompts
 * with it are sent at once every `badIntervalMs`.
 */
export async function playCrashingPart(
  {record, cleanup, hasTrouble},
  {subnet, parts, burst, badIntervalMs, durationMs, resumable = true},
) {
  const store = await startStore();
  cleanup(store.close);
  const crashes = [];
  const badArrivals = [];
  let isOver = false;

  const startModel = async (zone, i) => {
    const id = `i-llm-${zone}-${i}`;
    let replica;
    let beat;
    let isDown = false;
    const run = (req, res, {head, requestId}) => {
      const isBad = req.headers['x-prompt-prefix'].includes(BAD_PART);
      if (isBad) {
        badArrivals.push({id: requestId, at: Date.now(), server: id});
      }
      record(
        `${id} runs ${requestId}${isBad ? ', with the crashing part' : ''}`,
      );
      setTimeout(() => {
        if (res.destroyed) return;
        if (isBad && hasTrouble) return crash();
        res.writeHead(200, {...head, 'content-type': 'text/event-stream'});
        let number = 0;
        const timer = setInterval(() => {
          number += 1;
          res.write(`id: ${number}\ndata: piece ${number}\n\n`);
          if (number === EVENTS) res.end();
          if (number === EVENTS || res.destroyed) clearInterval(timer);
        }, EVENT_MS);
        return undefined;
      }, PREFILL_MS);
    };
    const start = async port => {
      replica = await startReplica({id, run, port});
      isDown = false;
      const put = () =>
        store.put('servers', id, replica.entry(SERVICES.model, zone, 11));
      put();
      beat = setInterval(put, HEARTBEAT_MS);
    };
    const crash = () => {
      if (isDown) return;
      isDown = true;
      crashes.push(Date.now());
      record(`${id} crashes (${crashes.length})`);
      const {port} = replica;
      clearInterval(beat);
      replica.close();
      setTimeout(() => {
        if (isOver) return;
        start(port).catch(error => record(`${id}: ${error.message}`));
      }, RESTART_MS);
    };
    await start();
    cleanup(() => {
      isOver = true;
      clearInterval(beat);
      replica.close();
    });
  };
  for (const zone of ZONES) {
    for (let i = 1; i <= REPLICAS_PER_ZONE; i += 1) await startModel(zone, i);
  }
  store.put('config', 'main', config({stream: {resumable}}));

  const hosts = ZONES.map((_, i) => `${subnet}.${i + 1}`);
  const plan = await planDeployment(hosts);
  const gateways = [];
  for (const [i, zone] of ZONES.entries()) {
    const name = `front-${zone}-1`;
    const host = hosts[i];
    const gateway = await startGateway({name, host, store, zone, plan});
    cleanup(gateway.stop);
    gateways.push(gateway);
  }

  const counts = new Map();
  const cutAt = [];
  const ask = async (i, lastShared) => {
    const id = newRequestId();
    record(`client: sends ${id} to gateway ${i % gateways.length}`);
    const answer = await send(gateways[i % gateways.length], {
      id,
      path: '/lohu930/2f',
      body: `Summarise day ${i}.`,
      timeoutMs: 10_000,
      headers: {
        'x-model': 'm',
        'x-token-counts': `${parts * 40 + 4_000},1650`,
        'x-prompt-prefix': promptParts(parts, lastShared, id).join(','),
      },
    });
    const kind = lastShared === BAD_PART ? 'crashing' : 'sound';
    const end = answer.complete ? String(answer.status) : 'cut off';
    if (kind === 'sound' && !answer.complete)
      cutAt.push(answer.sentAt + answer.tookMs);
    const key = `${kind}: ${end}`;
    counts.set(key, (counts.get(key) ?? 0) + 1);
    record(`client: ${id}, ${kind}: ${end}`);
  };
  const asked = [];
  const startedAt = Date.now();
  const askEvery = async (ms, count, lastShared) => {
    for (let i = 0; Date.now() - startedAt < durationMs; i += 1) {
      for (let n = 0; n < count; n += 1) asked.push(ask(i + n, lastShared));
      await sleep(ms);
    }
  };
  await Promise.all([
    askEvery(SOUND_INTERVAL_MS, 1, SOUND_PART),
    askEvery(badIntervalMs, burst, BAD_PART),
  ]);
  await Promise.all(asked);
  [...counts].forEach(([key, count]) => record(`${count} requests, ${key}`));

  const boundAt =
    (crashes[CRASHES_BEFORE_BOUND - 1] ?? Infinity) + CONTACT_TIMEOUT_MS;
  const late = badArrivals.filter(({at}) => at > boundAt);
  record(`${crashes.length} crashes; ${late.length} late requests`);
  const lateCuts = cutAt.filter(at => at > boundAt).length;
  record(`${lateCuts} sound streams were cut off after the bound`);
  if (late.length <= ALLOWED_AFTER) return [];
  return late.map(
    ({id, server, at}) =>
      `${id} reached ${server} ${at - boundAt} ms after the bound`,
  );
}
