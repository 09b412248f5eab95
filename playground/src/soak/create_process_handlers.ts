import {writeFileSync} from 'node:fs';
import type {ActionHandlers} from './action_handlers.js';
import type {GatewayProcess} from './gateway_process.js';
import type {SlowCallers} from './slow_callers.js';
import type {SoakAction} from './soak_action.js';
import {SOAK_PORTS} from './soak_ports.js';
import {takePort} from './take_port.js';

type ProcessActionType =
  | 'log-reader-loss'
  | 'log-reader-stall'
  | 'port-taken'
  | 'settings-in-steps'
  | 'reload-at-start'
  | 'reload-series'
  | 'unfinished-bodies'
  | 'unread-responses'
  | 'unasked-end';

interface Gateway {
  readonly name: string;
  readonly host: string;
  readonly process: GatewayProcess;
  readonly settingsPath: string;
  /** Whole text of the settings file. */
  readonly settings: string;
}

interface ProcessHandlersOptions<G extends Gateway> {
  readonly targetGateway: (action: SoakAction) => G;
  readonly gateways: () => readonly G[];
  readonly slowCallers: () => SlowCallers;
  /** Calls a function after a delay, unless all faults end first. */
  readonly schedule: (delayMs: number, callback: () => void) => void;
  /** Ends a fault after a time, or with all faults if that is sooner. */
  readonly hold: (durationMs: number, release: () => void) => void;
  /** Kills a gateway, which is disrupted for a time. */
  readonly kill: (gateway: G, downMs: number) => void;
  /** Records that a gateway ends or is down from now on for a time. */
  readonly recordDown: (gateway: G, downMs: number) => void;
}

/** Share of the gateways that a series of reloads goes to. */
const SERIES_SHARE = 0.6;

/** Time between two reloads of a process that starts. */
const RELOAD_INTERVAL_MS = 20;

/** Slow callers stay this many times longer than other actions last. */
const SLOW_FACTOR = 2;

/** Time in which a process that has ended is up again. */
const RESTART_MS = 1_000;

/**
 * Creates the handlers of what happens to the processes of gateways from
 * outside: at their outputs, ports, settings files, signals and connections.
 */
export function createProcessHandlers<G extends Gateway>(
  options: ProcessHandlersOptions<G>,
): ActionHandlers<ProcessActionType> {
  const {targetGateway, slowCallers, schedule, hold, kill} = options;

  const reload = (gateway: G): void => {
    if (!gateway.process.reload()) options.recordDown(gateway, RESTART_MS);
  };

  const holdSlow = ({durationMs}: SoakAction, release: () => void): void =>
    hold(durationMs * SLOW_FACTOR, release);

  return {
    'log-reader-loss': action => {
      const {collector} = targetGateway(action).process;
      collector.kill();
      hold(action.durationMs, () => collector.start());
    },
    'log-reader-stall': action => {
      const {collector} = targetGateway(action).process;
      collector.pause();
      hold(action.durationMs, () => collector.resume());
    },
    'port-taken': action => {
      const gateway = targetGateway(action);
      const port = SOAK_PORTS[action.port];
      const downMs = action.durationMs + RESTART_MS;
      hold(action.durationMs, takePort({host: gateway.host, port}));
      kill(gateway, downMs);
    },
    'settings-in-steps': action => {
      const gateway = targetGateway(action);
      const {settingsPath, settings} = gateway;
      const firstPart = settings.slice(0, settings.length * action.firstShare);
      writeFileSync(settingsPath, firstPart);
      hold(action.durationMs, () => writeFileSync(settingsPath, settings));
      if (action.at === 'reload') return reload(gateway);
      kill(gateway, action.durationMs + RESTART_MS);
    },
    'reload-at-start': action => {
      const gateway = targetGateway(action);
      const {process} = gateway;
      kill(gateway, RESTART_MS);
      const timer = setInterval(() => {
        if (process.handlesReload()) process.reload();
      }, RELOAD_INTERVAL_MS);
      hold(action.durationMs, () => clearInterval(timer));
    },
    'reload-series': ({targetIndex, durationMs}) => {
      const gateways = options.gateways();
      const count = Math.ceil(gateways.length * SERIES_SHARE);
      Array.from({length: count}, (_, i) =>
        schedule((durationMs / count) * i, () => {
          const gateway = gateways[(targetIndex + i) % gateways.length];
          if (gateway) reload(gateway);
        }),
      );
    },
    'unfinished-bodies': action => {
      const gateway = targetGateway(action);
      holdSlow(action, slowCallers().sendUnfinishedBodies(gateway));
    },
    'unread-responses': action => {
      const gateway = targetGateway(action);
      holdSlow(action, slowCallers().leaveResponsesUnread(gateway));
    },
    'unasked-end': action => {
      const gateway = targetGateway(action);
      options.recordDown(gateway, RESTART_MS);
      gateway.process.signal('SIGKILL');
    },
  };
}
