import {createEntry} from 'figfall';
import {resolveNodeSettings} from '../settings/resolve_node_settings.js';
import {createNodeCommand} from './create_node_command.js';

const ENTRY_SETTINGS = [
  'httpHost',
  'httpPort',
  'routingPolicy',
  'linksPerTarget',
] as const;

/** Runs an entry until it is stopped by a signal. */
export const entryCommand = createNodeCommand({
  summary: 'run an entry, which serves callers',
  roleSettings: ENTRY_SETTINGS,
  resolve: invocation => resolveNodeSettings(ENTRY_SETTINGS, invocation),
  create: createEntry,
  describe: ({httpPort}) => `entry serves callers on port ${httpPort}`,
});
