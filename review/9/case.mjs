import {performance} from 'node:perf_hooks';
import {setTimeout as sleep} from 'node:timers/promises';
import {sendRequest} from '../lib-2/client.mjs';
import {buildConfig, HOST} from '../lib-2/config.mjs';
import {planGateways, startGateway} from '../lib-2/gateway.mjs';
import {ModelReplica} from '../lib-2/model_replica.mjs';
import {runCase} from '../lib-2/run_case.mjs';
import {startStore} from '../lib-2/store.mjs';

const KEY = 'n2ctnfzs989anu6wsjnb';

/** The part of 40 tokens that all prompts of the kind share. */
const SHARED_PART = '5c1e07a2';
/** The part that crashes replicas; never the last one. */
const CRASHING_PART = 'dead0001';

const GATEWAYS = 3;
const REPLICAS = 4;
const SETTLE_MS = 3_000;
const CALM_MS = 4_000;
const ROUNDS = 9;
const ROUND_MS = 9_600;
/** Prompts sent so shortly before the next kill are not counted. */
const MARGIN_MS = 500;
const SOUND_INTERVAL_MS = 50;
const CRASHING_INTERVAL_MS = 150;

/** When killed processes are started again. */
const RESTART_MS = 600;

const CONTACT_TIMEOUT_MS = 3_000;
const COUNTED_CRASHES = 5;
const REQUESTS_MIN = 20;

await runCase(async ({folder, hasTrouble, record, onEnd}) => {
  const store = await startStore();
  onEnd(() => store.close());
  const startedAt = performance.now();
  const at = () => Math.round(performance.now() - startedAt);
  const crashes = [];
  const runs = new Map();
  const replicas = Array.from(
    {length: REPLICAS},
    (_, i) =>
      new ModelReplica({
        id: `i-7f3a91c${i}`,
        store,
        crashingPart: hasTrouble ? CRASHING_PART : undefined,
        onRun: (attemptId, id) =>
          runs.set(attemptId, [...(runs.get(attemptId) ?? []), id]),
        onCrash: id => {
          crashes.push(performance.now());
          record(`${at()} ms: ${id} crashes`);
        },
      }),
  );
  await Promise.all(replicas.map(replica => replica.start()));
  replicas.forEach(replica => onEnd(() => replica.stop()));
  store.put('config', 'main', buildConfig({version: 1, keys: {lab: [KEY]}}));
  const plans = await planGateways(GATEWAYS);
  const addresses = await Promise.all(plans.map(({name}) => store.open(name)));
  const startAll = () =>
    Promise.all(
      plans.map((plan, i) =>
        startGateway(plan, {folder, storeAddress: addresses[i]}),
      ),
    );
  let running = await startAll();
  onEnd(() => Promise.all(running.map(gateway => gateway.kill())));
  await sleep(SETTLE_MS);

  const recordSuspects = () =>
    running.forEach(({name, log}) =>
      log()
        .split('\n')
        .filter(line => line.includes('"suspect '))
        .map(line => JSON.parse(line))
        .forEach(({message, kind, key}) =>
          record(`${name} has logged: ${message}, ${kind} ${key}`),
        ),
    );
  const answers = [];
  const pending = [];
  let count = 0;
  const send = async (kind, parts) => {
    count += 1;
    const id = `${kind}-${count}`;
    const prefix = [...parts, `ffff${count}:4000`].join(',');
    const call = {path: '/summary/2f', body: id, deadlineMs: 10_000};
    const headers = {
      'x-model': 'm',
      'x-token-counts': '5000,400',
      'x-prompt-prefix': prefix,
    };
    const answer = await sendRequest(plans[count % GATEWAYS], {
      ...{id, key: KEY, host: HOST, headers},
      ...call,
    });
    answers.push({kind, ...answer});
  };
  let isOver = false;
  const repeat = async (intervalMs, action) => {
    while (!isOver) {
      pending.push(action());
      await sleep(intervalMs);
    }
  };
  const sound = repeat(SOUND_INTERVAL_MS, () =>
    send('sound', [`${SHARED_PART}:40`]),
  );
  await sleep(CALM_MS);
  const calmUntil = performance.now();
  const crashing = repeat(CRASHING_INTERVAL_MS, () =>
    send('crashing', [`${SHARED_PART}:40`, `${CRASHING_PART}:800`]),
  );
  const rounds = [];
  for (let i = 0; i < ROUNDS; i += 1) {
    const from = performance.now();
    if (hasTrouble) {
      record(`${at()} ms: all gateways are killed`);
      await Promise.all(running.map(gateway => gateway.kill()));
      await sleep(RESTART_MS);
      running = await startAll();
      record(`${at()} ms: all gateways are ready again`);
    }
    await sleep(ROUND_MS - (performance.now() - from));
    recordSuspects();
    rounds.push({from, until: performance.now()});
  }
  isOver = true;
  await Promise.all([sound, crashing]);
  await Promise.all(pending);

  const begun = list => list.filter(({status}) => status === 200).length;
  const ofSound = answers.filter(({kind}) => kind === 'sound');
  const before = ofSound.filter(({sentAt}) => sentAt < calmUntil - 1_000);
  answers
    .toSorted((a, b) => a.sentAt - b.sentAt)
    .forEach(({id, gateway, sentAt, status, tookMs, text}) =>
      record(
        `${Math.round(sentAt - startedAt)} ms: ${id} at ${gateway}, status ${status ?? '-'} after ${tookMs} ms, run by ${runs.get(id)?.join(' ') ?? 'none'} ${status === 200 ? '' : text.slice(0, 130)}`,
      ),
    );
  record(`crashes: ${crashes.length}`);
  record(
    `sound prompts in the calm: ${begun(before)} of ${before.length} begin`,
  );
  if (before.length < REQUESTS_MIN)
    throw new Error('Too few prompts were sent.');
  const calmShare = begun(before) / before.length;
  const broken = rounds.filter(({from, until}) => {
    const own = crashes.filter(time => time > from && time < until);
    const fifthAt = own[COUNTED_CRASHES - 1] ?? own.at(-1) ?? from;
    const countedFrom = fifthAt + 2 * CONTACT_TIMEOUT_MS;
    const after = ofSound.filter(
      ({sentAt}) => sentAt > countedFrom && sentAt < until - MARGIN_MS,
    );
    record(
      `round from ${Math.round(from - startedAt)} ms: ${own.length} crashes; sound prompts later than ${2 * CONTACT_TIMEOUT_MS} ms after the fifth, or the last: ${begun(after)} of ${after.length} begin`,
    );
    const isCounted = after.length >= REQUESTS_MIN;
    return isCounted && begun(after) / after.length < calmShare / 2;
  });
  record(`rounds in which the rule broke: ${broken.length} of ${ROUNDS}`);
  return broken.length > 0;
});
