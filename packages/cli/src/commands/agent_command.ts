import {createAgent} from 'figfall';
import {resolveNodeSettings} from '../settings/resolve_node_settings.js';
import {createNodeCommand} from './create_node_command.js';

const AGENT_SETTINGS = [
  'backendServer',
  'backendUrl',
  'linkHost',
  'linkPort',
  'metricsPort',
  'ledgerWritesPerSecond',
  'keyRetentionMs',
  'weightStoreLoads',
] as const;

/** Runs an agent until it is stopped by a signal. */
export const agentCommand = createNodeCommand({
  summary: 'run an agent, next to its backend server',
  roleSettings: AGENT_SETTINGS,
  resolve: invocation => resolveNodeSettings(AGENT_SETTINGS, invocation),
  create: createAgent,
  describe: ({linkPort}) => `agent accepts links on port ${linkPort}`,
});
