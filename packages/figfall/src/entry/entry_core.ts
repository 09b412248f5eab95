import type {Instance} from '@figfall/decisions';
import type {LinkEvent, PeerMessage} from '@figfall/node-link';
import {ConfigReplica} from '../node/config_replica.js';
import {LinkTable} from '../node/link_table.js';
import type {NodeContext} from '../node/node_context.js';
import {AgentViews} from './agent_views.js';
import {ENTRY} from './entry_constants.js';
import type {EntryMessage} from './entry_message.js';
import {EntryRouter} from './entry_router.js';
import type {EntrySettings} from './entry_settings.js';
import {LinkPlanner} from './link_planner.js';
import {RequestDispatcher} from './request_dispatcher.js';
import {StatusWriter} from './status_writer.js';

interface EntryCoreOptions {
  readonly context: NodeContext;
  readonly settings: EntrySettings;
  /** Replaces the set of agents that the entry links to. */
  readonly setPeers: (peers: readonly Instance[]) => void;
  /** Queues a message to the entry's task. */
  readonly send: (message: EntryMessage) => void;
}

type Handlers = {
  readonly [Type in EntryMessage['type']]: (
    message: Extract<EntryMessage, {readonly type: Type}>,
  ) => void;
};

type PeerEvent = Extract<LinkEvent, {readonly type: 'message'}>;

/** The state of an entry; used by the entry's task only. */
export class EntryCore {
  private readonly links = new LinkTable();
  private readonly views = new AgentViews();
  private readonly replica: ConfigReplica;
  private readonly requests: RequestDispatcher;
  private readonly linkPlanner: LinkPlanner;
  private readonly statusWriter: StatusWriter;
  private instances: readonly Instance[] = [];
  private hasStartedShutdown = false;
  private lastDigestAt = 0;

  constructor(private readonly options: EntryCoreOptions) {
    const {context, settings} = options;
    const {links, views} = this;
    this.replica = new ConfigReplica({
      hash: context.hash,
      links,
      onChange: view => {
        context.metrics.configRevision.set(view.revision);
        this.updateLinks();
      },
    });
    this.requests = new RequestDispatcher({
      context,
      settings,
      links,
      views,
      router: new EntryRouter(context, settings, views),
      configView: () => this.configView(),
    });
    this.linkPlanner = new LinkPlanner(context, settings);
    this.statusWriter = new StatusWriter(context, views);
  }

  handle(message: EntryMessage): void {
    const handler = this.handlers[message.type] as (
      message: EntryMessage,
    ) => void;
    handler(message);
  }

  configView() {
    return this.replica.view();
  }

  instanceList(): readonly Instance[] {
    return this.instances;
  }

  /** True if the entry has its configuration and takes new requests. */
  isReady(): boolean {
    return this.replica.isLoaded() && !this.hasStartedShutdown;
  }

  isShuttingDown(): boolean {
    return this.hasStartedShutdown;
  }

  /** True while a request is running. */
  isBusy(): boolean {
    return this.requests.isBusy();
  }

  private readonly handlers: Handlers = {
    link: ({event}) => this.handleLinkEvent(event),
    entries: ({entries}) => this.replica.merge(entries),
    instances: ({instances}) => {
      this.instances = instances;
      const leaving = instances.filter(({state}) => state === 'leaving');
      this.views.setLeaving(leaving.map(({id}) => id));
      this.requests.setInstances(instances);
      this.updateLinks();
    },
    complete: ({req, sink}) => {
      const {requestId} = req.metadata;
      const {send} = this.options;
      sink.onDisconnect(() => send({type: 'caller-disconnected', requestId}));
      sink.onDrain(() => send({type: 'caller-drained', requestId}));
      this.requests.complete(req, sink);
    },
    service: ({req, onDisconnect, reply}) => {
      const {requestId} = req.metadata;
      const {send} = this.options;
      onDisconnect(() => send({type: 'caller-disconnected', requestId}));
      this.requests.callService(req, reply);
    },
    'caller-disconnected': ({requestId}) =>
      this.requests.handleDisconnect(requestId),
    'caller-drained': ({requestId}) => this.requests.handleDrain(requestId),
    tick: () => this.handleTick(),
    'start-shutdown': () => {
      this.hasStartedShutdown = true;
    },
  };

  private handleLinkEvent(event: LinkEvent): void {
    this.links.handleLinkEvent(event);
    this.options.context.metrics.links.set(this.links.all().length);
    if (event.type === 'link-up') {
      event.link.send('control', this.replica.digestMessage());
      return this.requests.handleLinkUp(event.peer.id, event.peer.incarnation);
    }
    if (event.type === 'message') return this.handleMessage(event);
    const peerId = event.peer?.id;
    if (!peerId) return;
    this.options.context.logger.debug('link down', {
      peer: peerId,
      reason: event.reason,
    });
    this.options.context.metrics.agentConfigRevision.remove({agent: peerId});
    this.views.recordLinkDown(peerId);
    this.requests.handleLinkDown(peerId);
  }

  private handleMessage(event: PeerEvent): void {
    const {message, link} = event;
    const handlers: {
      readonly [Type in PeerMessage['type']]?: (
        message: Extract<PeerMessage, {readonly type: Type}>,
      ) => void;
    } = {
      report: ({report}) => {
        const {agentId, configRevision} = report;
        this.views.recordReport(report);
        this.options.context.metrics.agentConfigRevision.set(
          {agent: agentId},
          configRevision,
        );
      },
      revisions: ({nodes}) => this.statusWriter.recordRevisions(nodes),
      digest: digest => this.replica.handleMessage(link, digest),
      records: records => this.replica.handleMessage(link, records),
      ask: ask => this.replica.handleMessage(link, ask),
    };
    const handler = handlers[message.type] as
      ((message: PeerMessage) => void) | undefined;
    if (handler) handler(message);
    else this.requests.handleMessage(event);
  }

  private updateLinks(): void {
    const peers = this.linkPlanner.plan(this.configView(), this.instances);
    if (!peers) return;
    this.options.setPeers(peers);
    this.views.prune(peers.map(({id}) => id));
  }

  private recordLinkBytes(): void {
    const {linkBytes} = this.options.context.metrics;
    const totals = this.links.all().map(link => link.byteCounts());
    const sent = totals.reduce((sum, bytes) => sum + bytes.sent, 0);
    const received = totals.reduce((sum, bytes) => sum + bytes.received, 0);
    linkBytes.set({direction: 'sent'}, sent);
    linkBytes.set({direction: 'received'}, received);
  }

  private handleTick(): void {
    const now = Date.now();
    this.requests.tick();
    const {revision} = this.configView();
    this.statusWriter.tick({instances: this.instances, revision, now});
    if (now - this.lastDigestAt < ENTRY.DIGEST_INTERVAL_MS) return;
    this.lastDigestAt = now;
    this.recordLinkBytes();
    this.links.broadcast(this.replica.digestMessage());
  }
}
