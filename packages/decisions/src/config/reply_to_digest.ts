import type {ConfigDigest} from './config_digest.js';
import type {ConfigEntry} from './config_entry.js';
import {configStore} from './config_store.js';
import type {ConfigState} from './config_state.js';

/** A node's reply to the digest of a peer. */
interface DigestReply {
  /** Entries that the peer lacks. */
  readonly entries: readonly ConfigEntry[];
  /** True if the peer must be asked for newer entries. */
  readonly ask: boolean;
}

/**
 * Compares the digest of a peer with this node's state. If the revisions differ,
 * the entries above the lower revision are exchanged. If the revisions are equal
 * but the digests are not, one side lacks an entry, and both send all entries.
 */
export function replyToDigest(
  state: ConfigState,
  peer: ConfigDigest,
): DigestReply {
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
