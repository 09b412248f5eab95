import type {BackendServer, Candidate, ZoneSettings} from '@figfall/decisions';
import type {FleetWork} from './fleet_work.js';
import type {Placement} from './placement.js';

interface FleetZonesOptions {
  /** Availability zone of this gateway. */
  readonly zone: string;
  readonly zoneSettings?: () => ZoneSettings;
  readonly work: FleetWork;
  readonly find: (serverId: string) => BackendServer | undefined;
}

interface Decision {
  readonly gain: number;
  readonly cost: number;
}

/** What a gateway knows of availability zones. */
export class FleetZones {
  private linkedZones?: ReadonlySet<string>;

  constructor(private readonly options: FleetZonesOptions) {}

  /** Sets the zones of the linked gateways; all are known before the first. */
  setLinkedZones(zones: ReadonlySet<string>): void {
    this.linkedZones = zones;
  }

  /** What the plan of a request has to know of zones. */
  planContext(candidates: readonly Candidate[]) {
    const {zoneSettings, work} = this.options;
    const isZoneKnown = (zone: string) =>
      (this.linkedZones?.has(zone) ?? true) ||
      candidates.some(
        ({server, load}) => server.zone === zone && load.running > 0,
      );
    return {
      zoneSettings: zoneSettings?.() ?? {},
      isZoneKnown,
      meanMs: () => work.slots.meanMs(candidates.map(({server}) => server.id)),
    };
  }

  /** Zone of a placement, and what leaving the own one gains and costs. */
  describe(
    serverId: string,
    decision?: Decision,
  ): Pick<Placement, 'zone' | 'leftZone'> {
    const zone = this.options.find(serverId)?.zone;
    if (zone === undefined || zone === this.options.zone) return {zone};
    return {zone, leftZone: {gain: decision?.gain, cost: decision?.cost}};
  }
}
