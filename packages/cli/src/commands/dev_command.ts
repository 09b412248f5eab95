import {checkRuntime} from '../settings/check_runtime.js';
import {resolveSettings} from '../settings/resolve_settings.js';
import type {SettingName} from '../settings/setting_name.js';
import type {Command} from './command.js';
import {printSettingErrors} from './print_setting_errors.js';

const DEV_SETTINGS = [
  'httpPort',
  'logLevel',
  'traceExporter',
] as const satisfies readonly SettingName[];

/** Defaults of a development run that differ from those of a node. */
const DEV_DEFAULTS = {FIGFALL_LOG_LEVEL: 'warn'};

/** Runs a deployment with fakes of all outside systems in this process. */
export const devCommand: Command = {
  summary: 'run entries, agents and fake backend servers in one process',
  usage: '',
  settings: DEV_SETTINGS,
  flags: {
    demo: {
      type: 'boolean',
      help: 'send the demo requests, check the responses and exit',
    },
  },
  run: async ({flags, env, output}) => {
    const resolved = resolveSettings(DEV_SETTINGS, {
      flags,
      env: {...DEV_DEFAULTS, ...env},
    });
    const errors = [
      ...(resolved.isErr() ? resolved.error : []),
      ...checkRuntime(env),
    ];
    if (resolved.isErr() || errors.length > 0) {
      return printSettingErrors(errors, output);
    }
    const {runDev} = await import('@figfall/playground');
    const isDemo = flags.demo === true;
    return runDev({...resolved.value, isDemo, print: output.print});
  },
};
