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

/** Entries in one message, so that it stays under the bound of a frame. */
const ENTRIES_PER_MESSAGE = 256;

const CONTROL_STREAM = 'control';

interface ConfigReplicaOptions {
  readonly hash: HashFunction;
  readonly links: LinkTable;
  /** Called after records have changed. */
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

function inBatches(entries: readonly ConfigEntry[]): ConfigEntry[][] {
  const count = Math.ceil(entries.length / ENTRIES_PER_MESSAGE);
  return Array.from({length: count}, (_, i) =>
    entries.slice(i * ENTRIES_PER_MESSAGE, (i + 1) * ENTRIES_PER_MESSAGE),
  );
}

/** A node's copy of the records, kept equal with its peers by digests. */
export class ConfigReplica {
  private state: ConfigState = configStore.empty();
  private current: ConfigView = createConfigView(this.state);
  private loaded = false;

  constructor(private readonly options: ConfigReplicaOptions) {}

  view(): ConfigView {
    return this.current;
  }

  /** True once records have come from the platform or a peer. */
  isLoaded(): boolean {
    return this.loaded;
  }

  digestMessage(): PeerMessage {
    return {type: 'digest', digest: configStore.digest(this.state)};
  }

  /** Merges entries and passes on what was news. */
  merge(entries: readonly ConfigEntry[], fromLinkId?: string): void {
    this.loaded = true;
    const step = configStore.merge(this.state, entries, {
      hash: this.options.hash,
      isValid,
    });
    if (step.changed.length === 0) return;
    this.state = step.state;
    this.current = createConfigView(this.state);
    inBatches(step.changed).forEach(batch =>
      this.options.links.broadcast(
        {type: 'records', entries: batch},
        fromLinkId,
      ),
    );
    this.options.links.broadcast(this.digestMessage());
    this.options.onChange(this.current, step.changed);
  }

  /** Handles a message of a peer about records. */
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

  /** Asks a peer for the records that are newer than ours. */
  requestNewer(link: Link): void {
    const above = configStore.digest(this.state).revision;
    link.send(CONTROL_STREAM, {type: 'ask', above});
  }

  private send(link: Link, entries: readonly ConfigEntry[]): void {
    inBatches(entries).forEach(batch =>
      link.send(CONTROL_STREAM, {type: 'records', entries: batch}),
    );
  }
}
