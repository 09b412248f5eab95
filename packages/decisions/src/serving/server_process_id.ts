import type {BackendServer} from './backend_server.js';

/** Identifies one process of a backend server, which may restart in place. */
export function serverProcessId({
  id,
  processStartedAt,
}: Pick<BackendServer, 'id' | 'processStartedAt'>): string {
  return `${id}@${processStartedAt ?? ''}`;
}
