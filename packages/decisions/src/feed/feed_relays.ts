import type {FeedMember} from './feed_member.js';

/** Gateways of a deployment below which changes are sent directly. */
const DEPLOYMENT_MIN = 12;

/** Gateways of an availability zone below which it has no relay. */
const ZONE_MIN = 4;

const NONE: ReadonlySet<string> = new Set();

/** Ids of the gateways to which a relay sends. */
interface RelayTargets {
  /** Gateways of the relay's own availability zone. */
  readonly ownZone: readonly string[];
  /** Relays of the other zones. */
  readonly relays: readonly string[];
  /** Gateways of zones without a relay. */
  readonly unrelayed: readonly string[];
}

function compareMembers(a: FeedMember, b: FeedMember): number {
  if (a.capacity !== b.capacity) return b.capacity - a.capacity;
  return a.id < b.id ? -1 : 1;
}

function groupByZone(
  members: readonly FeedMember[],
): ReadonlyMap<string, readonly FeedMember[]> {
  const byZone = new Map<string, FeedMember[]>();
  members.forEach(member => {
    const others = byZone.get(member.zone);
    if (others) others.push(member);
    else byZone.set(member.zone, [member]);
  });
  return byZone;
}

function relayOf(
  members: readonly FeedMember[] = [],
  excluded: ReadonlySet<string> = NONE,
): string | undefined {
  if (members.length < ZONE_MIN) return undefined;
  return members.filter(({id}) => !excluded.has(id)).sort(compareMembers)[0]
    ?.id;
}

/**
 * Chooses the gateways that pass on changes of work, one in each availability
 * zone. The load it answers: each change sent to each gateway directly costs
 * as many writes and reads as there are gateways. `members` are the gateways
 * that understand relaying and are linked, and the own one; linked gateways
 * agree on the choice without messages.
 */
export const feedRelays = {
  /** The relay of a zone; undefined if changes are sent directly. */
  choose(
    members: readonly FeedMember[],
    zone: string,
    excluded: ReadonlySet<string> = NONE,
  ): string | undefined {
    if (members.length < DEPLOYMENT_MIN) return undefined;
    return relayOf(groupByZone(members).get(zone), excluded);
  },

  /** The gateways to which `own` sends what it has collected. */
  targets(members: readonly FeedMember[], own: FeedMember): RelayTargets {
    const byZone = groupByZone(members.filter(({id}) => id !== own.id));
    const otherZones = [...byZone].filter(([zone]) => zone !== own.zone);
    return {
      ownZone: (byZone.get(own.zone) ?? []).map(({id}) => id),
      relays: otherZones.flatMap(([, others]) => relayOf(others) ?? []),
      unrelayed: otherZones
        .filter(([, others]) => relayOf(others) === undefined)
        .flatMap(([, others]) => others.map(({id}) => id)),
    };
  },
};
