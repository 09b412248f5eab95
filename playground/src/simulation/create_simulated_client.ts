import {createFailure} from '@figfall/decisions';
import type {BackendClient, BackendRequest} from '@figfall/gateway';
import type {SimulatedJob} from './simulated_job.js';
import type {SimulatedServer} from './simulated_server.js';
import type {VirtualClock} from './virtual_clock.js';

interface ClientOptions {
  readonly clock: VirtualClock;
  readonly servers: ReadonlyMap<string, SimulatedServer>;
  /** One-way network delay of a request's connection, in milliseconds. */
  readonly delayMsOf: (serverId: string, requestId: string) => number;
  /** KV cache of one server, in tokens. */
  readonly memoryTokens: number;
  /** Returns the prompt and output tokens of a request. */
  readonly sizeOf: (requestId: string) => {
    readonly promptTokens: number;
    readonly outputTokens: number;
  };
}

const HEAD = {status: 200, headers: []};

/** Priority of a request that sets none. */
const DEFAULT_PRIORITY = 5;

/** Creates a client that sends requests to simulated servers. */
export function createSimulatedClient(options: ClientOptions): BackendClient {
  const {clock, servers, delayMsOf, memoryTokens, sizeOf} = options;
  const reservations = new Map<string, Map<string, number>>();

  const findServer = (id: string): SimulatedServer => {
    const server = servers.get(id);
    if (!server) throw new Error(`Unknown simulated server ${id}.`);
    return server;
  };

  const startJob = (
    req: BackendRequest,
    onEvent: Parameters<BackendClient['send']>[1],
  ): SimulatedJob | undefined => {
    const server = findServer(req.server.id);
    const oneWayDelayMs = delayMsOf(req.server.id, req.requestId);
    if (server.isFull()) {
      const failure = createFailure(
        'queue-full',
        'The request queue of the server is full.',
      );
      clock.schedule(oneWayDelayMs, () =>
        onEvent({type: 'refused', failure, unreachable: false}),
      );
      return undefined;
    }
    const job: SimulatedJob = {
      ...sizeOf(req.requestId),
      helpers: req.helpers.map(helper => findServer(helper.server.id)),
      priority: req.priority ?? DEFAULT_PRIORITY,
      onEvent: index =>
        clock.schedule(oneWayDelayMs, () => {
          if (index === 0) onEvent({type: 'head', head: HEAD});
          onEvent({type: 'events', firstId: index, texts: ['event']});
        }),
      onEnd: () => clock.schedule(oneWayDelayMs, () => onEvent({type: 'end'})),
    };
    server.start(job);
    return job;
  };

  return {
    send: (req, onEvent) => {
      let job: SimulatedJob | undefined;
      let isCancelled = false;
      clock.schedule(0, () => onEvent({type: 'sent'}));
      clock.schedule(delayMsOf(req.server.id, req.requestId), () => {
        if (!isCancelled) job = startJob(req, onEvent);
      });
      return {
        cancel: () => {
          isCancelled = true;
          if (job) findServer(req.server.id).cancel(job);
        },
        pause: () => undefined,
        resume: () => undefined,
      };
    },
    reserve: (server, {reservationId, tokens}) => {
      clock.flushPromisesNext();
      const ownReservations =
        reservations.get(server.id) ?? new Map<string, number>();
      const otherTokens = [...ownReservations]
        .filter(([id]) => id !== reservationId)
        .reduce((sum, [, count]) => sum + count, 0);
      if (otherTokens + tokens > memoryTokens)
        return Promise.resolve('refused');
      reservations.set(server.id, ownReservations.set(reservationId, tokens));
      return Promise.resolve('granted');
    },
    release: (server, reservationId) => {
      reservations.get(server.id)?.delete(reservationId);
      return Promise.resolve();
    },
    check: () => Promise.resolve({isResponding: true}),
    pruneConnections: () => undefined,
  };
}
