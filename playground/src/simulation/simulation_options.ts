import type {SimulatedEngine} from './simulated_engine.js';
import type {SimulatedRequest} from './simulated_request.js';
import type {SimulatedZones} from './simulated_zones.js';

/** A simulated deployment and its load. */
export interface SimulationOptions {
  readonly seed: number;
  readonly gateways: number;
  readonly servers: number;
  readonly engine: SimulatedEngine;
  readonly load: readonly SimulatedRequest[];
  /** Part size of the baseline fleet; figfall's own fleet if undefined. */
  readonly baselineMaxPartTokens?: number;
  /**
   * One-way network delay between machines, in milliseconds.
   *
   * @default 0.5
   */
  readonly oneWayDelayMs?: number;
  /**
   * Time in milliseconds until the other gateways know of a change of work.
   *
   * @default the network delay and half of the time that changes are batched
   */
  readonly broadcastDelayMs?: number;
  /** Factor on the durations of each server, by its index. @default 1 */
  readonly paceOf?: (serverIndex: number) => number;
  /** Availability zones. @default one of all servers and gateways */
  readonly zones?: SimulatedZones;
  /** Called with the id of the server that a request is sent to. */
  readonly onSend?: (
    serverId: string,
    request: SimulatedRequest,
    transfer: {
      /** Zone of the gateway. */
      readonly from: string;
      readonly helpers: readonly string[];
    },
  ) => void;
}
