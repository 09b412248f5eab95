import {createFailure} from '@figfall/decisions';
import type {BackendClient, BackendRequest} from '@figfall/gateway';
import type {SimulatedJob} from './simulated_job.js';
import type {SimulatedServer} from './simulated_server.js';
import type {VirtualClock} from './virtual_clock.js';

interface ClientOptions {
  readonly clock: VirtualClock;
  readonly servers: ReadonlyMap<string, SimulatedServer>;
  /** Time of one way between machines, in milliseconds. */
  readonly oneWayDelayMs: number;
  /** KV cache that one server has, in tokens. */
  readonly memoryTokens: number;
  /** Prompt and output tokens of a request by its id. */
  readonly sizeOf: (requestId: string) => {
    readonly promptTokens: number;
    readonly outputTokens: number;
  };
}

const HEAD = {status: 200, headers: [], isCloseDelimited: false};

/** Rank of a request that names none. */
const USUAL_PRIORITY = 5;

/** Creates a client of emulated servers. */
export function createSimulatedClient(options: ClientOptions): BackendClient {
  const {clock, servers, oneWayDelayMs, memoryTokens, sizeOf} = options;
  const reserved = new Map<string, Map<string, number>>();

  const find = (id: string): SimulatedServer => {
    const server = servers.get(id);
    if (!server) throw new Error(`There is no emulated server ${id}.`);
    return server;
  };

  const begin = (
    req: BackendRequest,
    onEvent: Parameters<BackendClient['send']>[1],
  ): SimulatedJob | undefined => {
    const server = find(req.server.id);
    if (server.isFull()) {
      const failure = createFailure('queue-full', 'The server is full.');
      clock.schedule(oneWayDelayMs, () =>
        onEvent({type: 'refused', failure, unreachable: false}),
      );
      return undefined;
    }
    const job: SimulatedJob = {
      ...sizeOf(req.requestId),
      helpers: req.helpers.map(helper => find(helper.server.id)),
      priority: req.priority ?? USUAL_PRIORITY,
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
      clock.schedule(oneWayDelayMs, () => {
        if (!isCancelled) job = begin(req, onEvent);
      });
      return {
        cancel: () => {
          isCancelled = true;
          if (job) find(req.server.id).cancel(job);
        },
        pause: () => undefined,
        resume: () => undefined,
      };
    },
    reserve: (server, {reservationId, tokens}) => {
      clock.flushPromisesNext();
      const held = reserved.get(server.id) ?? new Map<string, number>();
      const others = [...held]
        .filter(([id]) => id !== reservationId)
        .reduce((sum, [, count]) => sum + count, 0);
      if (others + tokens > memoryTokens) return Promise.resolve('refused');
      reserved.set(server.id, held.set(reservationId, tokens));
      return Promise.resolve('granted');
    },
    release: (server, reservationId) => {
      reserved.get(server.id)?.delete(reservationId);
      return Promise.resolve();
    },
    pruneConnections: () => undefined,
  };
}
