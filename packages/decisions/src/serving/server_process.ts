import type {BackendServer} from './backend_server.js';

/** Identifies one process of a backend server, which may restart in place. */
export type ServerProcess = Pick<BackendServer, 'id' | 'processStartedAt'>;
