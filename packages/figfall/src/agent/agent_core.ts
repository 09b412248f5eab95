import type {SchedulerCommand, Instance} from '@figfall/decisions';
import type {EngineLoad} from '@figfall/model-engine';
import type {LinkEvent, PeerMessage} from '@figfall/node-link';
import {ConfigReplica} from '../node/config_replica.js';
import {isListedLeaving} from '../node/is_listed_leaving.js';
import {LinkTable} from '../node/link_table.js';
import type {NodeContext} from '../node/node_context.js';
import {PeerRevisions} from '../node/peer_revisions.js';
import {AgentCallTable} from './agent_call_table.js';
import {AGENT} from './agent_constants.js';
import {AgentDoor} from './agent_door.js';
import type {AgentMessage} from './agent_message.js';
import {AgentReporter} from './agent_reporter.js';
import type {AgentSettings} from './agent_settings.js';
import {buildCondition} from './build_condition.js';
import {buildDoorOptions} from './build_door_options.js';
import {CallDesk} from './call_desk.js';
import type {CallRunner} from './call_runner.js';
import {EngineReconciler} from './engine_reconciler.js';
import {OpenDesk} from './open_desk.js';
import type {OrderDesk} from './order_desk.js';
import {ReservationDesk} from './reservation_desk.js';

interface AgentCoreOptions {
  readonly context: NodeContext;
  readonly settings: AgentSettings;
  readonly runner: CallRunner;
  readonly orders: OrderDesk;
}

type NodeMessage = Exclude<AgentMessage, {readonly callId: string}>;

type Handlers = {
  readonly [Type in NodeMessage['type']]: (
    message: Extract<NodeMessage, {readonly type: Type}>,
  ) => void;
};

type PeerEvent = Extract<LinkEvent, {readonly type: 'message'}>;

type PeerHandlers = {
  readonly [Type in PeerMessage['type']]?: (
    message: Extract<PeerMessage, {readonly type: Type}>,
    event: PeerEvent,
  ) => void;
};

/** The state of an agent; only the agent's task calls it. */
export class AgentCore {
  private readonly links = new LinkTable();
  private readonly board = new PeerRevisions();
  private readonly replica: ConfigReplica;
  private readonly calls: AgentCallTable;
  private readonly door: AgentDoor;
  private readonly offers: OpenDesk;
  private readonly desk: CallDesk;
  private readonly reservations: ReservationDesk;
  private readonly reporter: AgentReporter;
  private readonly reconciler: EngineReconciler;
  private instances: readonly Instance[] = [];
  private load?: EngineLoad;
  private leaving = false;
  private digestAt = 0;

  constructor(private readonly options: AgentCoreOptions) {
    const {context, settings, runner} = options;
    const {links, board} = this;
    this.replica = new ConfigReplica({
      hash: context.hash,
      links,
      onChange: () => this.refresh(),
    });
    this.calls = new AgentCallTable(context, links);
    this.door = new AgentDoor(this.condition(), this.doorOptions(), command =>
      this.execute(command),
    );
    const door = () => this.door;
    const {calls, replica} = this;
    this.offers = new OpenDesk({calls, door, replica});
    this.desk = new CallDesk({context, calls, door, runner});
    const {engine} = runner;
    this.reservations = new ReservationDesk({door, links, engine});
    this.reconciler = new EngineReconciler({
      logger: context.logger,
      engine: runner.engine,
      isOwned: id =>
        this.door.hasReservation(id) ||
        this.calls.find(id)?.record.status === 'running',
    });
    this.reporter = new AgentReporter({
      context,
      settings,
      links,
      board,
      door,
      revision: () => this.replica.view().revision,
      isReady: () => this.replica.isLoaded() && this.load !== undefined,
    });
  }

  handle(message: AgentMessage): void {
    if ('callId' in message) return this.desk.handle(message);
    const handler = this.handlers[message.type] as (
      message: NodeMessage,
    ) => void;
    handler(message);
  }

  /** True while calls have not ended. */
  isBusy(): boolean {
    return this.calls.all().some(({record}) => record.status !== 'ended');
  }

  /** True once the agent takes work, unless it is leaving. */
  isReady(): boolean {
    return ['cold', 'serving'].includes(this.reporter.phase());
  }

  instanceList(): readonly Instance[] {
    return this.instances;
  }

  /** Record of the backend server, once there is one. */
  record() {
    const {backendServer} = this.options.settings;
    return this.replica.view().find('backend-server', backendServer);
  }

  private readonly handlers: Handlers = {
    link: ({event}) => this.onLink(event),
    entries: ({entries}) => {
      this.replica.merge(entries);
      this.offers.review();
    },
    instances: ({instances}) => {
      this.instances = instances;
      this.leaving ||= isListedLeaving(instances, this.options.settings.id);
      this.refresh();
    },
    load: ({load}) => this.onLoad(load),
    tick: () => this.onTick(),
    leave: () => {
      this.leaving = true;
      this.refresh();
    },
  };

  private readonly peerHandlers: PeerHandlers = {
    open: ({call}, {link}) => this.offers.receive(link, call),
    body: ({callId, bytes}, {link, windowBytes: cost}) => {
      link.returnCredit(callId, cost);
      this.desk.addBody(callId, bytes);
    },
    attach: ({callId, from}, {link}) => this.calls.attach(link, callId, from),
    cancel: ({callId}) => this.desk.cancel(callId),
    reserve: (message, {link}) => this.reservations.reserve(message, link),
    release: ({reservationId}) =>
      this.door.step({type: 'release', reservationId}),
    suspect: ({fingerprint, crashes}, {link}) => {
      const isNews = this.offers.recordSuspect(fingerprint, crashes);
      const message = {type: 'suspect', fingerprint, crashes} as const;
      if (isNews) this.links.broadcast(message, link.linkId);
    },
    digest: (message, {link}) => this.replica.handleMessage(link, message),
    records: (message, {link}) => {
      this.replica.handleMessage(link, message);
      this.offers.review();
    },
    ask: (message, {link}) => this.replica.handleMessage(link, message),
  };

  private onLink(event: LinkEvent): void {
    this.links.handleLinkEvent(event);
    const isNews = this.board.handleLinkEvent(event);
    if (isNews) this.reporter.sendRevisions(this.instances);
    if (event.type === 'link-up') {
      event.link.send('control', this.replica.digestMessage());
      this.reporter.sendTo(event.link);
    }
    if (event.type === 'link-down') this.calls.detach(event.link.linkId);
    if (event.type !== 'message') return;
    const handler = this.peerHandlers[event.message.type] as
      ((message: PeerMessage, event: PeerEvent) => void) | undefined;
    handler?.(event.message, event);
  }

  private execute(command: SchedulerCommand): void {
    if ('callId' in command) this.desk.execute(command);
    else this.reservations.execute(command);
  }

  private condition() {
    const {settings} = this.options;
    return buildCondition({
      view: this.replica.view(),
      backendServer: settings.backendServer,
      zone: settings.zone,
      agentId: settings.id,
      instances: this.instances,
      leaving: this.leaving,
      models: this.load?.models ?? [],
    });
  }

  private doorOptions() {
    return buildDoorOptions(
      this.replica.view(),
      this.options.settings.backendServer,
      this.load?.totalTokens ?? 0,
    );
  }

  /** Brings the door up to what records and the backend server say. */
  private refresh(): void {
    this.door.setOptions(this.doorOptions());
    this.door.step({type: 'server-status', status: this.condition()});
    this.reporter.tick(Date.now());
  }

  private onLoad(load: EngineLoad | undefined): void {
    if (!load) return this.door.step({type: 'connection-lost'});
    this.load = load;
    this.refresh();
    const {incarnation, cold: saysCold} = load;
    this.door.step({type: 'load-report', incarnation, saysCold});
    this.reconciler.review(load.held);
    this.options.orders.tick({
      view: this.replica.view(),
      instances: this.instances,
      models: load.models,
    });
  }

  private onTick(): void {
    const now = Date.now();
    this.door.step({type: 'tick'});
    this.desk.sweep(now);
    this.offers.review();
    this.reporter.tick(now);
    if (now - this.digestAt < AGENT.DIGEST_MS) return;
    this.digestAt = now;
    this.links.broadcast(this.replica.digestMessage());
    this.reporter.sendRevisions(this.instances);
  }
}
