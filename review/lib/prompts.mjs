/** Stand-ins of model replicas and of clients that send prompts to them. */
import {randomBytes} from 'node:crypto';
import {setTimeout as sleep} from 'node:timers/promises';
import {sendAttempt} from './client.mjs';
import {HOST, KEY} from './config.mjs';
import {FakeReplica, answerHeaders} from './replica.mjs';

const ZONES = ['nord', 'werk', 'sued'];

/** Milliseconds from a prompt's arrival to its first event. */
const PREFILL_MS = 40;

const EVENTS = 8;
const EVENT_INTERVAL_MS = 40;

/** Milliseconds after which a crashed replica is back. */
const BACK_MS = 3_000;

const PROMPT_TOKENS = 5_000;
const FIRST_PART_TOKENS = 40;
const CRASHING_PART_TOKENS = 800;
const OUTPUT_TOKENS = 400;

/** Part of prompts that crashes each replica that begins an answer on it. */
export const CRASHING_PART = '91bd3f06';

/** Starts model replicas; `onRun` and `onCrash` get each run and crash. */
export async function startModelReplicas(ctx, {count, onRun, onCrash}) {
  const {store, timers, record, hasTrouble} = ctx;
  const run = async (req, res, body, replica) => {
    const attemptId = req.headers['x-attempt-id'];
    const {born} = replica;
    await sleep(PREFILL_MS);
    if (!replica.isUp || replica.born !== born || res.destroyed) return;
    const parts = String(req.headers['x-prompt-prefix']);
    const crashes = hasTrouble && parts.includes(CRASHING_PART);
    record('run', {attemptId, replica: replica.id, parts, crashes});
    onRun({attemptId, parts, at: Date.now()});
    if (crashes) {
      onCrash({attemptId, at: Date.now()});
      return replica.crash({backMs: BACK_MS});
    }
    res.writeHead(200, {
      ...answerHeaders(req),
      'content-type': 'text/event-stream',
      'x-weight-versions': '1',
    });
    const first = Number(req.headers['last-event-id'] ?? 0) + 1;
    for (let id = first; id <= EVENTS && !res.destroyed; id += 1) {
      res.write(`id: ${id}\ndata: ${randomBytes(24).toString('hex')}\n\n`);
      await sleep(EVENT_INTERVAL_MS);
    }
    res.end();
  };
  for (let i = 0; i < count; i += 1) {
    const zone = ZONES[i % ZONES.length];
    const host = ctx.replicaHost(i);
    const options = {store, timers, zone, host, run};
    const replica = new FakeReplica({...options, service: 'pool', slots: 11});
    ctx.replicas.push(replica);
    await replica.start();
  }
}

/** Sends a prompt whose shared parts are `parts`; its last part is its own. */
export async function sendPrompt(ctx, {gateway, parts, label}) {
  const own = randomBytes(4).toString('hex');
  const shared = parts.map((part, i) => {
    const tokens = i === 0 ? FIRST_PART_TOKENS : CRASHING_PART_TOKENS;
    return {part, tokens};
  });
  const sharedTokens = shared.reduce((sum, {tokens}) => sum + tokens, 0);
  const prefix = [...shared, {part: own, tokens: PROMPT_TOKENS - sharedTokens}]
    .map(({part, tokens}) => `${part}:${tokens}`)
    .join(',');
  const seen = await sendAttempt({
    gateway,
    host: HOST,
    key: KEY,
    path: `/summary/${own}`,
    body: `Summarise ${own}.`,
    headers: {
      'x-model': 'm',
      'x-token-counts': `${PROMPT_TOKENS},${OUTPUT_TOKENS}`,
      'x-prompt-prefix': prefix,
    },
  });
  const {attemptId, status, ended, error, sentAt} = seen;
  const message = status === 200 ? undefined : seen.body;
  const fields = {label, attemptId, gateway: gateway.name, status, ended};
  ctx.record('answer', {...fields, error, sentAt, message});
  return {...seen, label};
}
