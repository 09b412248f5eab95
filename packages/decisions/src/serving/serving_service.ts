import type {EngineProfile} from './engine_profile.js';

/** One service of the configuration. */
export interface ServingService {
  readonly name: string;
  /** Present where the service's backend servers are model engines. */
  readonly engine?: EngineProfile;
  /** Requests a second that a cold backend server bears; 0 for no bound. */
  readonly coldRequestsPerSecond: number;
}
