import type {RecordDataByKind} from '../record_data_by_kind.js';
import type {ZoneStatus} from './zone_status.js';

/** What operators' sentences are made from. */
interface StatusInput {
  readonly zones: readonly RecordDataByKind['availability-zone'][];
  readonly statuses: readonly ZoneStatus[];
  /** Highest version of any record. */
  readonly revision: number;
  readonly now: number;
}

/** Age in milliseconds at which a status counts as old. */
const OLD_MS = 30_000;

function clock(time: string): string {
  return new Date(time).toISOString().slice(11, 19);
}

function count(n: number, one: string, many = `${one}s`): string {
  return `${n} ${n === 1 ? one : many}`;
}

function running(status: ZoneStatus | undefined): number {
  const nodes = status?.nodes ?? [];
  return nodes.reduce((sum, node) => sum + (node.running ?? 0), 0);
}

function zoneSentence(
  zone: RecordDataByKind['availability-zone'],
  status: ZoneStatus | undefined,
): string {
  const since = zone.since ? ` since ${clock(zone.since)}` : '';
  const open = running(status);
  if (zone.state === 'out') {
    const rest =
      open > 0
        ? `${count(open, 'request')} ${open === 1 ? 'is' : 'are'} still finishing`
        : 'no requests are running there';
    return `Availability zone ${zone.name} is out${since}; ${rest}.`;
  }
  const agents = (status?.nodes ?? []).filter(({role}) => role === 'agent');
  const taking = agents.filter(
    ({phase, inService}) =>
      inService && (phase === 'serving' || phase === 'cold'),
  );
  return `Availability zone ${zone.name} is in service${since}; ${taking.length} of ${count(agents.length, 'backend server')} take work and ${count(open, 'request')} ${open === 1 ? 'is' : 'are'} running.`;
}

function revisionSentence({statuses, revision}: StatusInput): string {
  const nodes = statuses.flatMap(status => status.nodes);
  const behind = nodes.filter(node => (node.revision ?? 0) < revision);
  const total = count(nodes.length, 'instance');
  if (behind.length > 0) {
    const names = behind.map(({id}) => id).join(', ');
    return `Configuration version ${revision} is in force on ${nodes.length - behind.length} of ${total}; not yet on ${names}.`;
  }
  const latest = statuses
    .map(({inForceSince}) => inForceSince ?? '')
    .sort()
    .at(-1);
  const since = latest ? ` since ${clock(latest)}` : '';
  return `Configuration version ${revision} is in force on ${nodes.length} of ${total}${since}.`;
}

function ageSentences({zones, statuses, now}: StatusInput): string[] {
  return zones.flatMap(({name}) => {
    const status = statuses.find(({zone}) => zone === name);
    if (!status) {
      return [`Availability zone ${name} has not yet written a status.`];
    }
    const ageMs = now - Date.parse(status.at);
    return ageMs > OLD_MS
      ? [
          `The status of availability zone ${name} is from ${clock(status.at)}, so it may no longer be true.`,
        ]
      : [];
  });
}

/** Makes the sentences that operators read, one an object. */
export function statusSentences(input: StatusInput): string[] {
  const byName = new Map(input.statuses.map(status => [status.zone, status]));
  return [
    ...input.zones.map(zone => zoneSentence(zone, byName.get(zone.name))),
    revisionSentence(input),
    ...ageSentences(input),
  ];
}
