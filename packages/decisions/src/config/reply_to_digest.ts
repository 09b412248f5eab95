import type {ConfigDigest} from './config_digest.js';
import type {ConfigEntry} from './config_entry.js';
import {configStore} from './config_store.js';
import type {ConfigState} from './config_state.js';

/** What a node sends after it has compared digests with a peer. */
interface GossipReply {
  /** Entries that the peer lacks. */
  readonly entries: readonly ConfigEntry[];
  /** True where the peer is asked for what it has over our revision. */
  readonly ask: boolean;
}

/**
 * Compares digests with a peer. Where revisions differ the entries over the
 * lower revision are enough; where they are equal and checksums differ, one
 * side has a hole, and both send all that they have.
 */
export function replyToDigest(
  state: ConfigState,
  peer: ConfigDigest,
): GossipReply {
  const own = configStore.digest(state);
  if (configStore.digestsMatch(own, peer)) return {entries: [], ask: false};
  if (own.revision > peer.revision) {
    return {
      entries: configStore.entriesSince(state, peer.revision),
      ask: false,
    };
  }
  if (own.revision < peer.revision) return {entries: [], ask: true};
  return {entries: configStore.entriesSince(state, 0), ask: false};
}
