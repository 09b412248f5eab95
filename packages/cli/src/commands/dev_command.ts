import {checkRuntime} from '../settings/check_runtime.js';
import {resolveSettings} from '../settings/resolve_settings.js';
import type {SettingName} from '../settings/setting_name.js';
import type {Command} from './command.js';
import {complainOfSettings} from './complain_of_settings.js';

const NAMES = [
  'httpPort',
  'logLevel',
  'traceExporter',
] as const satisfies readonly SettingName[];

/** Settings of a development run that differ from those of a node. */
const DEV_ENV = {FIGFALL_LOG_LEVEL: 'warn'};

/** Runs a whole deployment with stand-ins in this process. */
export const devCommand: Command = {
  summary: 'run entries, agents and stand-ins in one process',
  usage: '',
  settings: NAMES,
  flags: {
    demo: {
      type: 'boolean',
      help: 'send the demo requests, check the answers and exit',
    },
  },
  run: async ({flags, env, output}) => {
    const resolved = resolveSettings(NAMES, {flags, env: {...DEV_ENV, ...env}});
    const errors = [
      ...(resolved.isErr() ? resolved.error : []),
      ...checkRuntime(env),
    ];
    if (resolved.isErr() || errors.length > 0) {
      return complainOfSettings(errors, output);
    }
    const {runDev} = await import('@figfall/playground');
    const isDemo = flags.demo === true;
    return runDev({...resolved.value, isDemo, print: output.print});
  },
};
