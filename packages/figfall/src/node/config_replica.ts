import {configStore, replyToDigest} from '@figfall/decisions';
import type {ConfigEntry, ConfigState, HashFunction} from '@figfall/decisions';
import type {Link, PeerMessage} from '@figfall/node-link';
import {
  createConfigView,
  decodeRecordText,
  isTombstone,
} from '@figfall/operator';
import type {ConfigView} from '@figfall/operator';
import type {LinkTable} from './link_table.js';

/** Most entries in one message, which must fit into one frame. */
const ENTRIES_PER_MESSAGE = 256;

const CONTROL_STREAM = 'control';

interface ConfigReplicaOptions {
  readonly hash: HashFunction;
  readonly links: LinkTable;
  /** Called after a merge that changed entries. */
  readonly onChange: (
    view: ConfigView,
    changed: readonly ConfigEntry[],
  ) => void;
}

type ConfigMessage = Extract<
  PeerMessage,
  {readonly type: 'digest' | 'records' | 'ask'}
>;

function isValid({value}: ConfigEntry): boolean {
  if (value === undefined || isTombstone(value)) return true;
  return decodeRecordText(value).isOk();
}

function splitIntoBatches(entries: readonly ConfigEntry[]): ConfigEntry[][] {
  const count = Math.ceil(entries.length / ENTRIES_PER_MESSAGE);
  return Array.from({length: count}, (_, i) =>
    entries.slice(i * ENTRIES_PER_MESSAGE, (i + 1) * ENTRIES_PER_MESSAGE),
  );
}

/**
 * A node's copy of the configuration records. Peers exchange digests and send
 * each other the entries that one of them lacks.
 */
export class ConfigReplica {
  private state: ConfigState = configStore.empty();
  private currentView: ConfigView = createConfigView(this.state);
  private loaded = false;

  constructor(private readonly options: ConfigReplicaOptions) {}

  view(): ConfigView {
    return this.currentView;
  }

  /** True once entries have been received from the platform or a peer. */
  isLoaded(): boolean {
    return this.loaded;
  }

  digestMessage(): PeerMessage {
    return {type: 'digest', digest: configStore.digest(this.state)};
  }

  /**
   * Merges entries and sends those that changed to all peers except the link
   * that they came from.
   */
  merge(entries: readonly ConfigEntry[], fromLinkId?: string): void {
    this.loaded = true;
    const merged = configStore.merge(this.state, entries, {
      hash: this.options.hash,
      isValid,
    });
    if (merged.changed.length === 0) return;
    this.state = merged.state;
    this.currentView = createConfigView(this.state);
    splitIntoBatches(merged.changed).forEach(batch =>
      this.options.links.broadcast(
        {type: 'records', entries: batch},
        fromLinkId,
      ),
    );
    this.options.links.broadcast(this.digestMessage());
    this.options.onChange(this.currentView, merged.changed);
  }

  /** Handles a peer's message about configuration entries. */
  handleMessage(link: Link, message: ConfigMessage): void {
    if (message.type === 'records') {
      return this.merge(message.entries, link.linkId);
    }
    if (message.type === 'ask') {
      return this.send(
        link,
        configStore.entriesSince(this.state, message.above),
      );
    }
    const reply = replyToDigest(this.state, message.digest);
    if (reply.entries.length > 0) this.send(link, reply.entries);
    if (reply.ask) this.requestNewer(link);
  }

  /** Asks a peer for the entries that are newer than this replica's. */
  requestNewer(link: Link): void {
    const above = configStore.digest(this.state).revision;
    link.send(CONTROL_STREAM, {type: 'ask', above});
  }

  private send(link: Link, entries: readonly ConfigEntry[]): void {
    splitIntoBatches(entries).forEach(batch =>
      link.send(CONTROL_STREAM, {type: 'records', entries: batch}),
    );
  }
}
