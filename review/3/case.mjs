/**
 * A prompt that crashes each replica which begins to run it, right after its
 * first event, comes again and again beside sound prompts.
 */
import {randomBytes} from 'node:crypto';
import {setTimeout as sleep} from 'node:timers/promises';
import {sendAttempt} from '../lib/client.mjs';
import {CONFIG, HOST, KEY} from '../lib/config.mjs';
import {FakeReplica, answerHeaders} from '../lib/replica.mjs';
import {runCase} from '../lib/run_case.mjs';

const REPLICAS = 8;
const PREFILL_MS = 40;
const EVENTS = 20;
const EVENT_INTERVAL_MS = 45;
const BACK_MS = 3_000;

const POISON_PATH = '/summary/dose-plan';
const POISON_INTERVAL_MS = 1_500;
const SOUND_INTERVAL_MS = 150;
const PLAY_MS = 30_000;

const CONTACT_TIMEOUT_MS = 3_000;
const COUNTED_CRASHES = 3;
const RETRIES_MAX = 3;

await runCase(import.meta.url, {gateways: 3, config: CONFIG}, async ctx => {
  const {store, timers, gateways, record, hasTrouble} = ctx;
  const crashes = [];
  const runs = [];
  const run = async (req, res, body, replica) => {
    const attemptId = req.headers['x-attempt-id'];
    const {born} = replica;
    const isGone = () =>
      !replica.isUp || replica.born !== born || res.destroyed;
    const isPoison = req.url === POISON_PATH;
    await sleep(PREFILL_MS);
    if (isGone()) return;
    if (isPoison) runs.push({attemptId, at: Date.now()});
    record('run', {attemptId, replica: replica.id, poison: isPoison});
    res.writeHead(200, {
      ...answerHeaders(req),
      'content-type': 'text/event-stream',
      'x-weight-versions': '1',
    });
    const first = Number(req.headers['last-event-id'] ?? 0) + 1;
    for (let id = first; id <= EVENTS; id += 1) {
      res.write(`id: ${id}\ndata: ${randomBytes(24).toString('hex')}\n\n`);
      await sleep(EVENT_INTERVAL_MS);
      if (isGone()) return;
      if (isPoison && hasTrouble) {
        crashes.push(Date.now());
        const nth = crashes.length;
        record('crash', {attemptId, replica: replica.id, nth});
        return replica.crash({backMs: BACK_MS});
      }
    }
    res.end();
  };
  for (let i = 0; i < REPLICAS; i += 1) {
    const zone = ['nord', 'werk', 'sued'][i % 3];
    const host = ctx.replicaHost(i);
    const options = {store, timers, zone, host, run};
    const replica = new FakeReplica({...options, service: 'pool', slots: 11});
    ctx.replicas.push(replica);
    await replica.start();
  }
  await Promise.all(gateways.map(gateway => gateway.start()));
  await sleep(2_000);

  const until = Date.now() + PLAY_MS;
  const pending = [];
  const send = async (i, path, own) => {
    const gateway = gateways[i % gateways.length];
    const seen = await sendAttempt({
      gateway,
      host: HOST,
      key: KEY,
      path,
      body: `Summarise ${own}.`,
      headers: {
        'x-model': 'm',
        'x-token-counts': '5000,1000',
        'x-prompt-prefix': `5c1e07a2:40,${own}:4960`,
      },
    });
    const {attemptId, status, ended, error} = seen;
    const fields = {attemptId, gateway: gateway.name, path, status};
    record('answer', {...fields, ended, error});
    return {...seen, isPoison: path === POISON_PATH};
  };
  const repeat = async (intervalMs, action) => {
    for (let i = 0; Date.now() < until; i += 1) {
      pending.push(action(i));
      await sleep(intervalMs);
    }
  };
  await Promise.all([
    repeat(POISON_INTERVAL_MS, i => send(i, POISON_PATH, 'd05e91a2')),
    repeat(SOUND_INTERVAL_MS, i => {
      const own = randomBytes(4).toString('hex');
      return send(i, `/summary/${own}`, own);
    }),
  ]);
  const answers = await Promise.all(pending);

  const countedFrom =
    (crashes[COUNTED_CRASHES - 1] ?? Infinity) + CONTACT_TIMEOUT_MS;
  const sentAt = new Map(answers.map(seen => [seen.attemptId, seen.sentAt]));
  const retries = runs.filter(
    ({attemptId}) => (sentAt.get(attemptId) ?? 0) > countedFrom,
  );
  const sound = answers.filter(({isPoison}) => !isPoison);
  const whole = sound.filter(
    ({status, ended}) => status === 200 && ended === 'complete',
  );
  record('summary', {
    crashes: crashes.length,
    poisonRuns: runs.length,
    countedRetries: retries.length,
    sound: sound.length,
    soundWhole: whole.length,
    soundCut: sound.filter(
      ({status, ended}) => status === 200 && ended !== 'complete',
    ).length,
  });
  if (!hasTrouble && whole.length < sound.length) {
    throw new Error('A prompt was not served without any disruption.');
  }
  return retries.length > RETRIES_MAX;
});
