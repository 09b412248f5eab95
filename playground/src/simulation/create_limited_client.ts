import type {BackendClient, Fleet} from '@figfall/gateway';
import type {LimitedServer} from './limited_server.js';
import type {VirtualClock} from './virtual_clock.js';

interface LimitedClientOptions {
  readonly clock: VirtualClock;
  readonly servers: readonly LimitedServer[];
  readonly fleet: Fleet;
  /** Index of the gateway that sends. */
  readonly gateway: number;
}

/** One-way network delay to servers, in milliseconds. */
const ONE_WAY_DELAY_MS = 0.5;

const HEAD = {status: 200, headers: []};

/** Creates a client that sends requests to servers that name request rates. */
export function createLimitedClient({
  clock,
  servers,
  fleet,
  gateway,
}: LimitedClientOptions): BackendClient {
  const find = (id: string) =>
    servers.find(server => server.listing().id === id);

  return {
    send: (req, onEvent) => {
      const askedAt = clock.now();
      const server = find(req.server.id);
      let isCancelled = false;
      clock.schedule(0, () => onEvent({type: 'sent'}));
      clock.schedule(ONE_WAY_DELAY_MS, () =>
        server?.arrive({at: clock.now(), gateway}),
      );
      const totalMs = 2 * ONE_WAY_DELAY_MS + (server?.serviceMs ?? 0);
      clock.schedule(totalMs, () => {
        if (isCancelled || !server) return;
        const rateLimit = server.notice();
        const notice = {isLeaving: false, pauseMs: 0, rateLimit, askedAt};
        fleet.recordNotice(req.server, notice);
        onEvent({type: 'response', head: HEAD, body: Buffer.alloc(0)});
      });
      return {
        cancel: () => {
          isCancelled = true;
        },
        pause: () => undefined,
        resume: () => undefined,
      };
    },
    reserve: () => Promise.resolve('granted'),
    release: () => Promise.resolve(),
    check: ({id}) => {
      clock.flushPromisesNext();
      const rateLimit = find(id)?.checkNotice();
      return Promise.resolve({isResponding: true, rateLimit});
    },
    pruneConnections: () => undefined,
  };
}
