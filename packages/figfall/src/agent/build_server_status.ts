import {divideLimit} from '@figfall/decisions';
import type {ServerStatus, Instance} from '@figfall/decisions';
import type {ConfigView} from '@figfall/operator';

interface ServerStatusInput {
  readonly view: ConfigView;
  readonly backendServer: string;
  readonly zone: string;
  readonly agentId: string;
  readonly instances: readonly Instance[];
  readonly leaving: boolean;
  /** Models loaded on the engine. */
  readonly models: readonly string[];
}

function zoneLimitShare(
  input: ServerStatusInput,
  limit: number | undefined,
): number {
  if (limit === undefined) return Number.MAX_SAFE_INTEGER;
  const members = input.instances
    .filter(({role, zone}) => role === 'agent' && zone === input.zone)
    .map(({id}) => id);
  return divideLimit(limit, members, input.agentId);
}

/** Builds the scheduler's view of a backend server from its configuration. */
export function buildServerStatus(input: ServerStatusInput): ServerStatus {
  const server = input.view.find('backend-server', input.backendServer);
  const zone = input.view.find('availability-zone', input.zone);
  const servedTargets =
    server?.kind === 'plain-service'
      ? [server.service ?? server.name]
      : input.models;
  return {
    declared: server !== undefined && zone !== undefined,
    zoneInService: zone?.state === 'in',
    serverInService: server?.state === 'in',
    leaving: input.leaving,
    servedTargets,
    zoneLimitShare: zoneLimitShare(input, zone?.maxRunning),
  };
}
