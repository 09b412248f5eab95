import {createEntry} from 'figfall';
import {NODE_SETTING_NAMES} from '../settings/node_setting_names.js';
import {resolveNode} from '../settings/resolve_node.js';
import type {Command} from './command.js';
import {complainOfSettings} from './complain_of_settings.js';
import {runNode} from './run_node.js';

const OWN = [
  'httpHost',
  'httpPort',
  'routingPolicy',
  'linksPerTarget',
] as const;

/** Runs an entry. */
export const entryCommand: Command = {
  summary: 'run an entry, which serves callers',
  usage: '',
  settings: [...NODE_SETTING_NAMES, ...OWN],
  flags: {},
  run: async invocation => {
    const settings = resolveNode(OWN, invocation);
    if (settings.isErr()) {
      return complainOfSettings(settings.error, invocation.output);
    }
    return runNode(
      createEntry(settings.value),
      ({httpPort}) => `entry serves callers on port ${httpPort}`,
      invocation.output,
    );
  },
};
