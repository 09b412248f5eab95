import {divideLimit} from '@figfall/decisions';
import type {ServerStatus, Instance} from '@figfall/decisions';
import type {ConfigView} from '@figfall/operator';

interface ConditionInput {
  readonly view: ConfigView;
  readonly backendServer: string;
  readonly zone: string;
  readonly agentId: string;
  readonly instances: readonly Instance[];
  readonly leaving: boolean;
  /** Models that the engine holds. */
  readonly models: readonly string[];
}

function zoneShare(input: ConditionInput, limit: number | undefined): number {
  if (limit === undefined) return Number.MAX_SAFE_INTEGER;
  const members = input.instances
    .filter(({role, zone}) => role === 'agent' && zone === input.zone)
    .map(({id}) => id);
  return divideLimit(limit, members, input.agentId);
}

/** Builds what records and the life cycle say of a backend server. */
export function buildCondition(input: ConditionInput): ServerStatus {
  const server = input.view.find('backend-server', input.backendServer);
  const zone = input.view.find('availability-zone', input.zone);
  const serves =
    server?.kind === 'plain-service'
      ? [server.service ?? server.name]
      : input.models;
  return {
    declared: server !== undefined && zone !== undefined,
    zoneInService: zone?.state === 'in',
    serverInService: server?.state === 'in',
    leaving: input.leaving,
    servedTargets: serves,
    zoneLimitShare: zoneShare(input, zone?.maxRunning),
  };
}
