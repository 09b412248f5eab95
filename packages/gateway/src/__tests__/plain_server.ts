import type {BackendServer} from '@figfall/decisions';

/** A ready server of the fixture's only service. */
export function plainServer(id: string): BackendServer {
  return {
    id,
    service: 'plain',
    host: '127.0.0.1',
    port: 1,
    zone: 'nord',
    state: 'ready',
    slots: 8,
    coldUntil: 0,
  };
}
