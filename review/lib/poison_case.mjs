/**
 * A booking that crashes each replica which begins to run it comes again and
 * again, at all gateways, beside sound bookings.
 */
import {setTimeout as sleep} from 'node:timers/promises';
import {createBookingRun} from './bookings.mjs';
import {sendAttempt} from './client.mjs';
import {HOST, KEY} from './config.mjs';
import {FakeReplica} from './replica.mjs';

/** Body of the booking that crashes replicas; without trouble it is sound. */
const POISON = '{"dose":-1}';

const POISON_INTERVAL_MS = 1_000;
const SOUND_INTERVAL_MS = 150;
const DEADLINE_MS = 4_000;

/** The rule counts retries from `contactTimeoutMs` after the third crash. */
const CONTACT_TIMEOUT_MS = 3_000;
const COUNTED_CRASHES = 3;
const RETRIES_MAX = 3;

/** Plays the case; true if the rule on requests that crash replicas broke. */
export async function playPoison(ctx, options) {
  const {replicaCount, keepsId, backMs, playMs, sendPoison} = options;
  const {store, timers, gateways, record, hasTrouble} = ctx;
  const crashes = [];
  const arrivals = [];
  const poisonIds = new Set();
  const run = createBookingRun({
    onRun: ({attemptId, body, replica}) => {
      const isPoison = body === POISON;
      if (isPoison) {
        poisonIds.add(attemptId);
        arrivals.push({attemptId, at: Date.now()});
      }
      record('run', {attemptId, replica, poison: isPoison});
      return isPoison && hasTrouble;
    },
    onCrash: ({attemptId, replica}) => {
      crashes.push(Date.now());
      record('crash', {attemptId, replica: replica.id, nth: crashes.length});
      replica.crash({backMs, keepsId});
    },
  });
  for (let i = 0; i < replicaCount; i += 1) {
    const zone = ['nord', 'werk', 'sued'][i % 3];
    const host = ctx.replicaHost(i);
    const replica = new FakeReplica({
      ...{store, timers, host, zone, run},
      service: 'app',
      slots: 6,
    });
    ctx.replicas.push(replica);
    await replica.start();
  }
  await Promise.all(gateways.map(gateway => gateway.start()));
  // Gateways link with one another before the first booking.
  await sleep(2_000);

  const until = Date.now() + playMs;
  const pending = [];
  const send = (gateway, path, body) => {
    const attempt = {gateway, host: HOST, key: KEY, path, body};
    const sent = sendAttempt({...attempt, deadlineMs: DEADLINE_MS});
    pending.push(
      sent.then(seen => {
        const {attemptId, status, ended, error} = seen;
        const fields = {attemptId, gateway: gateway.name, path, status};
        record('answer', {...fields, ended, error});
        return {...seen, poison: body === POISON};
      }),
    );
  };
  const sendSound = async () => {
    for (let i = 0; Date.now() < until; i += 1) {
      const gateway = gateways[i % gateways.length];
      send(gateway, `/booking/${i}`, `{"dose":${i}}`);
      await sleep(SOUND_INTERVAL_MS);
    }
  };
  const sendPoisons = async () => {
    for (let i = 0; Date.now() < until; i += 1) {
      sendPoison(i, gateway => send(gateway, '/booking/dose', POISON));
      await sleep(POISON_INTERVAL_MS);
    }
  };
  await Promise.all([sendSound(), sendPoisons()]);
  const answers = await Promise.all(pending);

  const sound = answers.filter(({poison}) => !poison);
  const served = sound.filter(({status}) => status === 200);
  const thirdAt = crashes[COUNTED_CRASHES - 1] ?? Infinity;
  const countedFrom = thirdAt + CONTACT_TIMEOUT_MS;
  const sentAt = new Map(answers.map(seen => [seen.attemptId, seen.sentAt]));
  const retries = arrivals.filter(
    ({attemptId}) => (sentAt.get(attemptId) ?? 0) > countedFrom,
  );
  const lostLate = sound.filter(
    seen => seen.sentAt > countedFrom && seen.status === 502,
  );
  record('summary', {
    crashes: crashes.length,
    poisonRuns: arrivals.length,
    countedRetries: retries.length,
    soundBookings: sound.length,
    soundServed: served.length,
    soundLostAfterThird: lostLate.length,
  });
  if (!hasTrouble && served.length < sound.length) {
    throw new Error('A booking was not served without any disruption.');
  }
  return retries.length > RETRIES_MAX;
}
