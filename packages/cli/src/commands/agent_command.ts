import {createAgent} from 'figfall';
import {NODE_SETTING_NAMES} from '../settings/node_setting_names.js';
import {resolveNode} from '../settings/resolve_node.js';
import type {Command} from './command.js';
import {complainOfSettings} from './complain_of_settings.js';
import {runNode} from './run_node.js';

const OWN = [
  'backendServer',
  'backendUrl',
  'linkHost',
  'linkPort',
  'ledgerWritesPerSecond',
  'keyRetentionMs',
  'weightStoreLoads',
] as const;

/** Runs an agent. */
export const agentCommand: Command = {
  summary: 'run an agent, beside a backend server',
  usage: '',
  settings: [...NODE_SETTING_NAMES, ...OWN],
  flags: {},
  run: async invocation => {
    const settings = resolveNode(OWN, invocation);
    if (settings.isErr()) {
      return complainOfSettings(settings.error, invocation.output);
    }
    return runNode(
      createAgent(settings.value),
      ({linkPort}) => `agent takes links on port ${linkPort}`,
      invocation.output,
    );
  },
};
