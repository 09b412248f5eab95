import type {WorkChange} from '@figfall/decisions';
import type {FleetWork} from './fleet_work.js';
import type {RateLimits} from './rate_limits.js';
import type {ServerObservations} from './server_observations.js';
import type {ServerPaces} from './server_paces.js';
import type {Suspects} from './suspects.js';

/** The parts of a fleet that changes concern. */
interface ChangeTargets {
  readonly work: FleetWork;
  readonly observations: ServerObservations;
  readonly paces: ServerPaces;
  readonly limits: RateLimits;
  readonly suspects: Suspects;
}

/** Applies a change of the gateway `owner` to the part that it concerns. */
export function applyChange(
  {work, observations, paces, limits, suspects}: ChangeTargets,
  change: WorkChange,
  owner: string,
): void {
  switch (change.type) {
    case 'start':
    case 'prefilled':
    case 'wait':
    case 'end':
      return work.apply(change, owner);
    case 'unreachable':
      return observations.recordOutcome(change.serverId, 'unreachable');
    case 'leaving': {
      const {serverId: id, processStartedAt} = change;
      observations.recordLeaving({id, processStartedAt});
      return;
    }
    case 'pace':
      return paces.applyRemote(change);
    case 'limit':
      return limits.book.applyRemote(change);
    default:
      suspects.apply(change);
  }
}
