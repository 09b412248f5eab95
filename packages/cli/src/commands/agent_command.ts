import {createAgent} from 'figfall';
import {resolveNode} from '../settings/resolve_node.js';
import {createNodeCommand} from './create_node_command.js';

const OWN = [
  'backendServer',
  'backendUrl',
  'linkHost',
  'linkPort',
  'metricsPort',
  'ledgerWritesPerSecond',
  'keyRetentionMs',
  'weightStoreLoads',
] as const;

/** Runs an agent. */
export const agentCommand = createNodeCommand({
  summary: 'run an agent, beside a backend server',
  own: OWN,
  resolve: invocation => resolveNode(OWN, invocation),
  create: createAgent,
  describe: ({linkPort}) => `agent takes links on port ${linkPort}`,
});
