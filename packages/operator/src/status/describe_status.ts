import type {RecordDataByKind} from '../record_data_by_kind.js';
import type {ZoneStatus} from './zone_status.js';

interface StatusInput {
  readonly zones: readonly RecordDataByKind['availability-zone'][];
  readonly statuses: readonly ZoneStatus[];
  /** Highest version of any record. */
  readonly revision: number;
  readonly now: number;
}

/** Age in milliseconds after which a status is reported as outdated. */
const STALE_AFTER_MS = 30_000;

/** Formats a time as HH:MM:SS in UTC. */
function formatTime(time: string): string {
  return new Date(time).toISOString().slice(11, 19);
}

function formatCount(n: number, one: string, many = `${one}s`): string {
  return `${n} ${n === 1 ? one : many}`;
}

function countRunning(status: ZoneStatus | undefined): number {
  const nodes = status?.nodes ?? [];
  return nodes.reduce((sum, node) => sum + (node.running ?? 0), 0);
}

function describeZone(
  zone: RecordDataByKind['availability-zone'],
  status: ZoneStatus | undefined,
): string {
  const since = zone.since ? ` since ${formatTime(zone.since)}` : '';
  const requestCount = countRunning(status);
  if (zone.state === 'out') {
    const rest =
      requestCount > 0
        ? `${formatCount(requestCount, 'request')} ${requestCount === 1 ? 'is' : 'are'} still finishing`
        : 'no requests are running there';
    return `Availability zone ${zone.name} is out${since}; ${rest}.`;
  }
  const agents = (status?.nodes ?? []).filter(({role}) => role === 'agent');
  const accepting = agents.filter(
    ({phase, inService}) =>
      inService && (phase === 'serving' || phase === 'cold'),
  );
  return `Availability zone ${zone.name} is in service${since}; ${accepting.length} of ${formatCount(agents.length, 'backend server')} accept requests; ${formatCount(requestCount, 'request')} ${requestCount === 1 ? 'is' : 'are'} running.`;
}

function describeRevision({statuses, revision}: StatusInput): string {
  const nodes = statuses.flatMap(status => status.nodes);
  const outdated = nodes.filter(node => (node.revision ?? 0) < revision);
  const total = formatCount(nodes.length, 'instance');
  if (outdated.length > 0) {
    const names = outdated.map(({id}) => id).join(', ');
    return `Configuration version ${revision} is in force on ${nodes.length - outdated.length} of ${total}; not yet on ${names}.`;
  }
  const lastApplied = statuses
    .map(({inForceSince}) => inForceSince ?? '')
    .sort()
    .at(-1);
  const since = lastApplied ? ` since ${formatTime(lastApplied)}` : '';
  return `Configuration version ${revision} is in force on ${nodes.length} of ${total}${since}.`;
}

function describeStaleStatuses({zones, statuses, now}: StatusInput): string[] {
  return zones.flatMap(({name}) => {
    const status = statuses.find(({zone}) => zone === name);
    if (!status) {
      return [`Availability zone ${name} has not yet written a status.`];
    }
    const ageMs = now - Date.parse(status.at);
    return ageMs > STALE_AFTER_MS
      ? [
          `The status of availability zone ${name} is from ${formatTime(status.at)} and may be outdated.`,
        ]
      : [];
  });
}

/** Describes the zones, the configuration and outdated statuses in sentences. */
export function describeStatus(input: StatusInput): string[] {
  const byName = new Map(input.statuses.map(status => [status.zone, status]));
  return [
    ...input.zones.map(zone => describeZone(zone, byName.get(zone.name))),
    describeRevision(input),
    ...describeStaleStatuses(input),
  ];
}
