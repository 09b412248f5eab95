import type {BackendFault} from '@figfall/gateway-server/testing';
import type {ActionHandlers} from './action_handlers.js';
import type {SoakAction} from './soak_action.js';
import type {SoakObservations} from './soak_observations.js';
import type {SoakServer} from './soak_server.js';

type ServerActionType = Extract<SoakAction['type'], `server-${string}`>;
type LinkHarm = SoakObservations['linkHarms'][number];
type Drain = SoakObservations['drains'][number];

interface ServerHandlersOptions {
  readonly targetServer: (action: SoakAction) => SoakServer;
  /** Returns monotonic time in milliseconds. */
  readonly now: () => number;
  /** Calls a function after a delay, unless all faults end first. */
  readonly schedule: (delayMs: number, callback: () => void) => void;
  /** Removes the store's entry of a server. */
  readonly removeEntry: (serverId: string) => void;
  readonly onDrain: (drain: Drain) => void;
  readonly onLinkHarm: (harm: LinkHarm) => void;
}

/** Time after a crash until the store drops the entry of the server. */
const SERVER_ENTRY_TTL_MS = 2_000;

/** Creates the handlers of the actions on backend servers and their links. */
export function createServerHandlers(
  options: ServerHandlersOptions,
): ActionHandlers<ServerActionType> {
  const {targetServer, now, schedule, onDrain, onLinkHarm} = options;

  /** Finds the relay of a server and records that the link is harmed. */
  const relayToHarm = (action: SoakAction, durationMs: number) => {
    const {relay, backend} = targetServer(action);
    const from = now();
    const {serverId} = backend;
    onLinkHarm({serverId, from, to: from + durationMs});
    return relay;
  };

  const crash = async (server: SoakServer, downMs: number): Promise<void> => {
    const {serverId} = server.backend;
    await server.crash();
    schedule(SERVER_ENTRY_TTL_MS, () => {
      if (!server.backend.isUp()) options.removeEntry(serverId);
    });
    schedule(downMs, () => void server.start());
  };

  const setFault = (action: SoakAction, fault: BackendFault): void => {
    const {backend} = targetServer(action);
    backend.setFault(fault);
    schedule(action.durationMs, () => backend.setFault('none'));
  };

  return {
    'server-fault': action => setFault(action, action.fault),
    'server-unstated-refusals': action => setFault(action, 'unstated-refusals'),
    'server-crash': action => {
      void crash(targetServer(action), action.durationMs);
    },
    'server-drain': action => {
      const serverId = targetServer(action).drain();
      if (serverId) onDrain({serverId, startedAt: now()});
    },
    'server-leave': action => targetServer(action).leave(),
    'server-pause': action =>
      targetServer(action).backend.pauseFor(action.durationMs),
    'server-limit': action => {
      const {notices} = targetServer(action).backend;
      notices.nameLimit(action.perSecond);
      schedule(action.durationMs, () => notices.nameLimit(undefined));
    },
    'server-silence': action =>
      targetServer(action).backend.fallSilent(action.durationMs),
    'server-reset-connections': action =>
      targetServer(action).resetConnections(),
    'server-hang-connections': action =>
      relayToHarm(action, 0).stallConnections(),
    'server-disconnect': action => {
      const relay = relayToHarm(action, action.durationMs);
      relay.setPartitioned(true);
      schedule(action.durationMs, () => relay.setPartitioned(false));
    },
    'server-drop-responses': action => {
      const relay = relayToHarm(action, action.durationMs);
      relay.setStallOnResponse(true);
      schedule(action.durationMs, () => relay.setStallOnResponse(false));
    },
  };
}
