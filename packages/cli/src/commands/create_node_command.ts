import type {Effect, Scope} from 'effect';
import type {Result} from 'neverthrow';
import {NODE_SETTING_NAMES} from '../settings/node_setting_names.js';
import type {SettingName} from '../settings/setting_name.js';
import type {Command} from './command.js';
import type {Invocation} from './invocation.js';
import {printSettingErrors} from './print_setting_errors.js';
import {runNode} from './run_node.js';

interface NodeCommandOptions<Settings, Node> {
  readonly summary: string;
  /** Settings that only this role has. */
  readonly roleSettings: readonly SettingName[];
  readonly resolve: (
    invocation: Invocation,
  ) => Result<Settings, readonly string[]>;
  readonly create: (
    settings: Settings,
  ) => Effect.Effect<Node, Error, Scope.Scope>;
  /** Returns the line to print once the node has started. */
  readonly describe: (node: Node) => string;
}

/** Creates the command that runs an entry or an agent. */
export function createNodeCommand<
  Settings,
  Node extends {readonly drain: () => Promise<void>},
>(options: NodeCommandOptions<Settings, Node>): Command {
  return {
    summary: options.summary,
    usage: '',
    settings: [...NODE_SETTING_NAMES, ...options.roleSettings],
    flags: {},
    run: async invocation => {
      const {output} = invocation;
      const settings = options.resolve(invocation);
      if (settings.isErr()) return printSettingErrors(settings.error, output);
      const effect = options.create(settings.value);
      return runNode(effect, options.describe, output);
    },
  };
}
