import {createEntry} from 'figfall';
import {resolveNode} from '../settings/resolve_node.js';
import {createNodeCommand} from './create_node_command.js';

const OWN = [
  'httpHost',
  'httpPort',
  'routingPolicy',
  'linksPerTarget',
] as const;

/** Runs an entry. */
export const entryCommand = createNodeCommand({
  summary: 'run an entry, which serves callers',
  own: OWN,
  resolve: invocation => resolveNode(OWN, invocation),
  create: createEntry,
  describe: ({httpPort}) => `entry serves callers on port ${httpPort}`,
});
