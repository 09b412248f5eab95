import {readFileSync} from 'node:fs';
import {fileURLToPath} from 'node:url';

const ROOT = fileURLToPath(new URL('../../..', import.meta.url));

function readArguments(): readonly string[] {
  const text = readFileSync(`${ROOT}/deploy/system.toml`, 'utf8');
  const [, args] = /^run = "node (.*)"$/m.exec(text) ?? [];
  if (!args) throw new Error('deploy/system.toml does not run node.');
  return args.split(' ');
}

/** The program of a gateway and its arguments, as they are deployed. */
export const DEPLOYED_PROGRAM = {args: readArguments(), folder: ROOT};
