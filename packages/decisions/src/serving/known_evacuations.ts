/**
 * Time in milliseconds for which a zone stays evacuated although a store that
 * came back from an older copy does not list it. Operators write again in this
 * time what the copy lacks.
 */
const RESTORED_HOLD_MS = 3_500;

/** Availability zones that operators have taken out of service. */
interface KnownEvacuations {
  readonly listed: ReadonlySet<string>;
  /** Zones that a restored store lacks, and until when each is held, in ms. */
  readonly heldUntil: ReadonlyMap<string, number>;
}

interface Listing {
  readonly zones: ReadonlySet<string>;
  /** The store has come back from an older copy since the last listing. */
  readonly isRestored: boolean;
}

/** Tracks evacuated zones, also when the store comes back from a copy. */
export const knownEvacuations = {
  empty(): KnownEvacuations {
    return {listed: new Set(), heldUntil: new Map()};
  },

  /** Replaces the listed zones. */
  applyListing(
    known: KnownEvacuations,
    {zones, isRestored}: Listing,
    now: number,
  ): KnownEvacuations {
    const lost = isRestored
      ? [...knownEvacuations.all(known)].filter(zone => !zones.has(zone))
      : [];
    const held = [...known.heldUntil].filter(([zone]) => !zones.has(zone));
    const added = lost.map(zone => [zone, now + RESTORED_HOLD_MS] as const);
    return {listed: zones, heldUntil: new Map([...held, ...added])};
  },

  /** Ends the holds that are over. */
  removeExpired(known: KnownEvacuations, now: number): KnownEvacuations {
    const held = [...known.heldUntil].filter(([, until]) => until > now);
    return held.length === known.heldUntil.size
      ? known
      : {...known, heldUntil: new Map(held)};
  },

  /** All zones whose servers get no requests. */
  all({listed, heldUntil}: KnownEvacuations): ReadonlySet<string> {
    return new Set([...listed, ...heldUntil.keys()]);
  },
};
