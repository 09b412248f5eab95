import type {ZoneSettings} from '@figfall/decisions';

/** Availability zones of a simulated deployment. */
export interface SimulatedZones {
  readonly ofServer: (serverIndex: number) => string;
  readonly ofGateway: (gatewayIndex: number) => string;
  /** One-way delay that two zones add, in milliseconds. */
  readonly delayMs: number;
  readonly settings?: ZoneSettings;
}
