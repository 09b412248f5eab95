import type {ServerProcess} from './server_process.js';

/** Identifies one process of a backend server, which may restart in place. */
export function serverProcessId({id, processStartedAt}: ServerProcess): string {
  return `${id}@${processStartedAt ?? ''}`;
}
