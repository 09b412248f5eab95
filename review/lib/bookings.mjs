/** Stand-in of an application replica that runs bookings. */
import {Buffer} from 'node:buffer';
import {setTimeout as sleep} from 'node:timers/promises';
import {answerHeaders} from './replica.mjs';

/** Milliseconds that one booking takes. */
const WORK_MS = 60;

/**
 * Runs a booking and answers it. `onRun(attemptId, replica)` is called as the
 * work begins; if it returns true, the replica crashes instead of answering.
 */
export function createBookingRun({onRun, onCrash}) {
  return async (req, res, body, replica) => {
    const attemptId = req.headers['x-attempt-id'];
    const {born} = replica;
    const crashes = onRun({attemptId, body, replica: replica.id});
    await sleep(WORK_MS);
    if (!replica.isUp || replica.born !== born) return;
    if (crashes) return onCrash({attemptId, replica});
    const answer = `booked ${attemptId}`;
    res.writeHead(200, {
      ...answerHeaders(req),
      'content-type': 'text/plain',
      'content-length': Buffer.byteLength(answer),
    });
    res.end(answer);
  };
}
