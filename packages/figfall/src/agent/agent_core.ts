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
import {AgentScheduler} from './agent_scheduler.js';
import type {AgentMessage} from './agent_message.js';
import {AgentReporter} from './agent_reporter.js';
import type {AgentSettings} from './agent_settings.js';
import {buildServerStatus} from './build_server_status.js';
import {buildSchedulerOptions} from './build_scheduler_options.js';
import {CallHandler} from './call_handler.js';
import type {CallRunner} from './call_runner.js';
import {UnownedWorkCleaner} from './unowned_work_cleaner.js';
import {OfferHandler} from './offer_handler.js';
import type {ModelReconciler} from './model_reconciler.js';
import {ReservationHandler} from './reservation_handler.js';

interface AgentCoreOptions {
  readonly context: NodeContext;
  readonly settings: AgentSettings;
  readonly runner: CallRunner;
  readonly modelReconciler: ModelReconciler;
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

/** Handles all messages of an agent's task, which is its only caller. */
export class AgentCore {
  private readonly links = new LinkTable();
  private readonly peerRevisions = new PeerRevisions();
  private readonly replica: ConfigReplica;
  private readonly calls: AgentCallTable;
  private readonly scheduler: AgentScheduler;
  private readonly offerHandler: OfferHandler;
  private readonly callHandler: CallHandler;
  private readonly reservations: ReservationHandler;
  private readonly reporter: AgentReporter;
  private readonly unownedWorkCleaner: UnownedWorkCleaner;
  private instances: readonly Instance[] = [];
  private load?: EngineLoad;
  private leaving = false;
  private lastDigestAt = 0;

  constructor(private readonly options: AgentCoreOptions) {
    const {context, settings, runner} = options;
    const {links, peerRevisions} = this;
    this.replica = new ConfigReplica({
      hash: context.hash,
      links,
      onChange: () => this.refresh(),
    });
    this.calls = new AgentCallTable(context, links);
    this.scheduler = new AgentScheduler(
      this.serverStatus(),
      this.schedulerOptions(),
      command => this.execute(command),
    );
    const scheduler = () => this.scheduler;
    const {calls, replica} = this;
    this.offerHandler = new OfferHandler({calls, scheduler, replica});
    this.callHandler = new CallHandler({context, calls, scheduler, runner});
    this.reservations = new ReservationHandler({
      scheduler,
      links,
      engineClient: runner.engineClient,
    });
    this.unownedWorkCleaner = new UnownedWorkCleaner({
      logger: context.logger,
      engineClient: runner.engineClient,
      isOwned: id =>
        this.scheduler.hasReservation(id) ||
        this.calls.find(id)?.record.status === 'running',
    });
    this.reporter = new AgentReporter({
      context,
      settings,
      links,
      peerRevisions,
      scheduler,
      configRevision: () => this.replica.view().revision,
      isReady: () => this.replica.isLoaded() && this.load !== undefined,
    });
  }

  handle(message: AgentMessage): void {
    if ('callId' in message) return this.callHandler.handle(message);
    const handler = this.handlers[message.type] as (
      message: NodeMessage,
    ) => void;
    handler(message);
  }

  /** True while any call is queued or running. */
  isBusy(): boolean {
    return this.calls.all().some(({record}) => record.status !== 'ended');
  }

  /** True while the agent accepts calls: it has started and isn't leaving. */
  isReady(): boolean {
    return ['cold', 'serving'].includes(this.reporter.phase());
  }

  instanceList(): readonly Instance[] {
    return this.instances;
  }

  /** Configuration record of the backend server; undefined if undeclared. */
  serverRecord() {
    const {backendServer} = this.options.settings;
    return this.replica.view().find('backend-server', backendServer);
  }

  private readonly handlers: Handlers = {
    link: ({event}) => this.onLink(event),
    entries: ({entries}) => {
      this.replica.merge(entries);
      this.offerHandler.retryPending();
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
    open: ({call}, {link}) => this.offerHandler.receive(link, call),
    body: ({callId, bytes}, {link, windowBytes}) => {
      link.returnCredit(callId, windowBytes);
      this.callHandler.addBody(callId, bytes);
    },
    attach: ({callId, from}, {link}) => this.calls.attach(link, callId, from),
    cancel: ({callId}) => this.callHandler.cancel(callId),
    reserve: (message, {link}) => this.reservations.reserve(message, link),
    release: ({reservationId}) =>
      this.scheduler.step({type: 'release', reservationId}),
    suspect: ({fingerprint, crashes}, {link}) => {
      const isNew = this.offerHandler.recordSuspect(fingerprint, crashes);
      const message = {type: 'suspect', fingerprint, crashes} as const;
      if (isNew) this.links.broadcast(message, link.linkId);
    },
    digest: (message, {link}) => this.replica.handleMessage(link, message),
    records: (message, {link}) => {
      this.replica.handleMessage(link, message);
      this.offerHandler.retryPending();
    },
    ask: (message, {link}) => this.replica.handleMessage(link, message),
  };

  private onLink(event: LinkEvent): void {
    this.links.handleLinkEvent(event);
    const isNew = this.peerRevisions.handleLinkEvent(event);
    if (isNew) this.reporter.sendRevisions(this.instances);
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
    if ('callId' in command) this.callHandler.execute(command);
    else this.reservations.execute(command);
  }

  private serverStatus() {
    const {settings} = this.options;
    return buildServerStatus({
      view: this.replica.view(),
      backendServer: settings.backendServer,
      zone: settings.zone,
      agentId: settings.id,
      instances: this.instances,
      leaving: this.leaving,
      models: this.load?.models ?? [],
    });
  }

  private schedulerOptions() {
    return buildSchedulerOptions(
      this.replica.view(),
      this.options.settings.backendServer,
      this.load?.totalTokens ?? 0,
    );
  }

  /** Applies the current configuration and server load to the scheduler. */
  private refresh(): void {
    this.scheduler.setOptions(this.schedulerOptions());
    this.scheduler.step({type: 'server-status', status: this.serverStatus()});
    this.reporter.tick(Date.now());
  }

  private onLoad(load: EngineLoad | undefined): void {
    if (!load) return this.scheduler.step({type: 'connection-lost'});
    this.load = load;
    this.refresh();
    const {incarnation, cold} = load;
    this.scheduler.step({type: 'load-report', incarnation, cold});
    this.unownedWorkCleaner.cancelUnowned(load.held);
    this.options.modelReconciler.reconcile({
      view: this.replica.view(),
      instances: this.instances,
      models: load.models,
    });
  }

  private onTick(): void {
    const now = Date.now();
    this.scheduler.step({type: 'tick'});
    this.callHandler.stopOverdue(now);
    this.offerHandler.retryPending();
    this.reporter.tick(now);
    if (now - this.lastDigestAt < AGENT.DIGEST_INTERVAL_MS) return;
    this.lastDigestAt = now;
    this.links.broadcast(this.replica.digestMessage());
    this.reporter.sendRevisions(this.instances);
  }
}
