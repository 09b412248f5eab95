import {Agent} from 'node:http';
import type {SoakCallers} from './soak_callers.js';
import type {SoakObservations} from './soak_observations.js';

type FinalRequests = SoakObservations['finalRequests'];

/** One request of each kind, and the status that it must get without faults. */
const FINAL_REQUESTS = [
  {
    description: 'a stream',
    kind: 'stream',
    credentials: undefined,
    expectedStatus: 200,
  },
  {
    description: 'a read',
    kind: 'read',
    credentials: undefined,
    expectedStatus: 200,
  },
  {
    description: 'a booking',
    kind: 'book',
    credentials: undefined,
    expectedStatus: 200,
  },
  {
    description: 'an unknown API key',
    kind: 'read',
    credentials: {workspace: '', apiKey: 'nobody'},
    expectedStatus: 401,
  },
] as const;

/**
 * Sends a request of each kind to each gateway, without faults. Takes one
 * gateway at a time, since the long prompts of all of them fill the KV caches.
 */
export async function sendFinalRequests(
  callers: SoakCallers,
  gateways: readonly {readonly name: string}[],
): Promise<FinalRequests> {
  const agent = new Agent();
  const sent: FinalRequests[] = [];
  for (const [gateway, {name}] of gateways.entries()) {
    sent.push(
      await Promise.all(
        FINAL_REQUESTS.map(
          async ({description, kind, credentials, expectedStatus}) => {
            const {status} = await callers.send(agent, {
              gateway,
              kind,
              credentials,
            });
            return {gateway: name, description, expectedStatus, status};
          },
        ),
      ),
    );
  }
  return sent.flat();
}
