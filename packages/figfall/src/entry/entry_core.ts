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
import {RequestDesk} from './request_desk.js';
import {StatusWriter} from './status_writer.js';

interface EntryCoreOptions {
  readonly context: NodeContext;
  readonly settings: EntrySettings;
  /** Replaces the agents that links are kept to. */
  readonly setPeers: (peers: readonly Instance[]) => void;
  /** Puts a message into the entry's mailbox. */
  readonly send: (message: EntryMessage) => void;
}

type Handlers = {
  readonly [Type in EntryMessage['type']]: (
    message: Extract<EntryMessage, {readonly type: Type}>,
  ) => void;
};

type PeerEvent = Extract<LinkEvent, {readonly type: 'message'}>;

/** The state of an entry; only the entry's task calls it. */
export class EntryCore {
  private readonly links = new LinkTable();
  private readonly views = new AgentViews();
  private readonly replica: ConfigReplica;
  private readonly desk: RequestDesk;
  private readonly planner: LinkPlanner;
  private readonly status: StatusWriter;
  private instances: readonly Instance[] = [];
  private leaving = false;
  private digestAt = 0;

  constructor(private readonly options: EntryCoreOptions) {
    const {context, settings} = options;
    const {links, views} = this;
    this.replica = new ConfigReplica({
      hash: context.hash,
      links,
      onChange: view => {
        context.metrics.configRevision.set(view.revision);
        this.plan();
      },
    });
    this.desk = new RequestDesk({
      context,
      settings,
      links,
      views,
      router: new EntryRouter(context, settings, views),
      view: () => this.view(),
    });
    this.planner = new LinkPlanner(context, settings);
    this.status = new StatusWriter(context, views);
  }

  handle(message: EntryMessage): void {
    const handler = this.handlers[message.type] as (
      message: EntryMessage,
    ) => void;
    handler(message);
  }

  view() {
    return this.replica.view();
  }

  instanceList(): readonly Instance[] {
    return this.instances;
  }

  isReady(): boolean {
    return this.replica.isLoaded() && !this.leaving;
  }

  isLeaving(): boolean {
    return this.leaving;
  }

  isBusy(): boolean {
    return this.desk.isBusy();
  }

  private readonly handlers: Handlers = {
    link: ({event}) => this.onLink(event),
    entries: ({entries}) => this.replica.merge(entries),
    instances: ({instances}) => {
      this.instances = instances;
      const leaving = instances.filter(({state}) => state === 'leaving');
      this.views.setLeaving(leaving.map(({id}) => id));
      this.desk.setInstances(instances);
      this.plan();
    },
    complete: ({req, sink}) => {
      const {requestId} = req.metadata;
      const {send} = this.options;
      sink.onDisconnect(() => send({type: 'caller-gone', requestId}));
      sink.onDrain(() => send({type: 'drained', requestId}));
      this.desk.complete(req, sink);
    },
    service: ({req, onGone, reply}) => {
      const {requestId} = req.metadata;
      const {send} = this.options;
      onGone(() => send({type: 'caller-gone', requestId}));
      this.desk.callService(req, reply);
    },
    'caller-gone': ({requestId}) => this.desk.callerGone(requestId),
    drained: ({requestId}) => this.desk.drained(requestId),
    tick: () => this.onTick(),
    leave: () => {
      this.leaving = true;
    },
  };

  private onLink(event: LinkEvent): void {
    this.links.handleLinkEvent(event);
    this.options.context.metrics.links.set(this.links.all().length);
    if (event.type === 'link-up') {
      event.link.send('control', this.replica.digestMessage());
      return this.desk.linkUp(event.peer.id, event.peer.incarnation);
    }
    if (event.type === 'message') return this.onMessage(event);
    const peerId = event.peer?.id;
    if (!peerId) return;
    this.options.context.logger.debug('link down', {
      peer: peerId,
      reason: event.reason,
    });
    this.options.context.metrics.agentConfigRevision.remove({agent: peerId});
    this.views.linkDown(peerId);
    this.desk.linkDown(peerId);
  }

  private onMessage(event: PeerEvent): void {
    const {message, link} = event;
    const handlers: {
      readonly [Type in PeerMessage['type']]?: (
        message: Extract<PeerMessage, {readonly type: Type}>,
      ) => void;
    } = {
      report: ({report}) => {
        const {agentId: agent, configRevision} = report;
        this.views.report(report);
        this.options.context.metrics.agentConfigRevision.set(
          {agent},
          configRevision,
        );
      },
      revisions: ({nodes}) => this.status.hear(nodes),
      digest: digest => this.replica.handleMessage(link, digest),
      records: records => this.replica.handleMessage(link, records),
      ask: ask => this.replica.handleMessage(link, ask),
    };
    const handler = handlers[message.type] as
      ((message: PeerMessage) => void) | undefined;
    if (handler) handler(message);
    else this.desk.receive(event);
  }

  private plan(): void {
    const peers = this.planner.plan(this.view(), this.instances);
    if (!peers) return;
    this.options.setPeers(peers);
    this.views.keepOnly(peers.map(({id}) => id));
  }

  private measureLinks(): void {
    const {linkBytes} = this.options.context.metrics;
    const totals = this.links.all().map(link => link.byteCounts());
    const sent = totals.reduce((sum, bytes) => sum + bytes.sent, 0);
    const received = totals.reduce((sum, bytes) => sum + bytes.received, 0);
    linkBytes.set({direction: 'sent'}, sent);
    linkBytes.set({direction: 'received'}, received);
  }

  private onTick(): void {
    const now = Date.now();
    this.desk.tick();
    const {revision} = this.view();
    this.status.tick({instances: this.instances, revision, now});
    if (now - this.digestAt < ENTRY.DIGEST_MS) return;
    this.digestAt = now;
    this.measureLinks();
    this.links.broadcast(this.replica.digestMessage());
  }
}
