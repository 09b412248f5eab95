import type {ZoneDelay} from '../zones/zone_delay.js';
import type {EngineProfile} from './engine_profile.js';

/** A service of the configuration. */
export interface ServingService {
  readonly name: string;
  /** Set if the service's backend servers are model engines. */
  readonly engine?: EngineProfile;
  /** Request rate that a cold backend server can take; 0 means no limit. */
  readonly coldRequestsPerSecond: number;
  /** Delays between availability zones that its engine, or others, declare. */
  readonly zoneDelays?: readonly ZoneDelay[];
}
