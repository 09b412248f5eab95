import type {
  CompletionRequest,
  CompletionSink,
  ServiceRequest,
} from '@figfall/caller';
import {suspectTable} from '@figfall/decisions';
import type {Failure, Instance} from '@figfall/decisions';
import type {Link, LinkEvent, PlainServiceResponse} from '@figfall/node-link';
import type {ConfigView} from '@figfall/operator';
import {err, ok} from 'neverthrow';
import type {Result} from 'neverthrow';
import type {LinkTable} from '../node/link_table.js';
import type {NodeContext} from '../node/node_context.js';
import type {AgentViews} from './agent_views.js';
import {buildSpec} from './build_spec.js';
import type {CallSink} from './call_sink.js';
import type {CallSpec} from './call_spec.js';
import {EntryCall} from './entry_call.js';
import type {EntryRouter} from './entry_router.js';
import type {EntrySettings} from './entry_settings.js';
import {findTarget} from './find_target.js';
import {GroupDesk} from './group_desk.js';
import {LedgerCheck} from './ledger_check.js';
import {observeRequest} from './observe_request.js';
import {WorkspaceLimits} from './workspace_limits.js';

interface RequestDeskOptions {
  readonly context: NodeContext;
  readonly settings: EntrySettings;
  readonly links: LinkTable;
  readonly views: AgentViews;
  readonly router: EntryRouter;
  readonly view: () => ConfigView;
}

/** The requests of an entry; only the entry's task calls it. */
export class RequestDesk {
  /** Calls by request id; parts of groups have ids of their own. */
  private readonly calls = new Map<string, EntryCall>();
  private readonly groups: GroupDesk;
  private readonly limits: WorkspaceLimits;
  private readonly ledgerCheck: LedgerCheck;
  private suspects = suspectTable.empty();

  constructor(private readonly options: RequestDeskOptions) {
    this.limits = new WorkspaceLimits(options.settings.id);
    this.ledgerCheck = new LedgerCheck(options.context);
    this.groups = new GroupDesk({
      router: options.router,
      zone: options.settings.zone,
      linkTo: agentId => this.linkTo(agentId),
      startCall: (spec, sink) => this.startCall(spec, sink),
    });
  }

  isBusy(): boolean {
    return this.calls.size > 0 || this.groups.isBusy();
  }

  setInstances(instances: readonly Instance[]): void {
    this.limits.setInstances(instances);
  }

  complete(req: CompletionRequest, sink: CompletionSink): void {
    const {context, view} = this.options;
    const {workspace} = req.metadata;
    const target = findTarget.model(view(), workspace, req.model);
    if (target.isErr()) return sink.fail(target.error);
    const observed = observeRequest(context, req.metadata, req.promptTokens);
    const spec = buildSpec.completion(
      req,
      target.value,
      context.hash,
      observed,
      this.options.settings.routingPolicy,
    );
    const refusal = this.enter(spec);
    if (refusal) {
      observed.failed(refusal);
      return sink.fail(refusal);
    }
    const leave = () => this.limits.leave(workspace);
    const callSink = observed.sink({
      tokens: sink.writeTokens,
      complete: () => sink.complete(),
      fail: sink.fail,
    });
    this.options.router.recordRequest(spec);
    if (this.groups.isNeeded(spec)) {
      return this.groups.start(spec, req, callSink, leave);
    }
    this.startCall(spec, callSink, leave);
  }

  callService(
    req: ServiceRequest,
    reply: (answer: Result<PlainServiceResponse, Failure>) => void,
  ): void {
    const {context, view} = this.options;
    const {workspace} = req.metadata;
    const service = findTarget.service(view(), workspace, req.service);
    if (service.isErr()) return reply(err(service.error));
    const observed = observeRequest(context, req.metadata, 0);
    const spec = buildSpec.service(req, service.value, context.hash, observed);
    const fail = (failure: Failure) =>
      void this.ledgerCheck
        .verify(spec, failure)
        .then(verified => reply(err(verified)));
    const refusal = this.enter(spec);
    if (refusal) {
      observed.failed(refusal);
      return fail(refusal);
    }
    const sink = observed.sink({
      tokens: () => true,
      complete: ({response}) => {
        if (response) reply(ok(response));
      },
      fail,
    });
    this.options.router.recordRequest(spec);
    this.startCall(spec, sink, () => this.limits.leave(workspace));
  }

  /** Passes a message of an agent to the request that it is about. */
  receive(event: Extract<LinkEvent, {readonly type: 'message'}>): void {
    const {message, link, windowBytes: cost} = event;
    switch (message.type) {
      case 'accepted':
      case 'refused':
      case 'tokens':
      case 'done':
      case 'failed':
      case 'alive':
      case 'unseen': {
        const requestId = message.callId.replace(/\.\d+$/, '');
        const call = this.calls.get(requestId);
        if (call) call.receive(message, link, cost);
        else link.returnCredit(message.callId, cost);
        return;
      }
      case 'reserved':
      case 'not-reserved':
        return this.groups.receive(message, link.peer()?.id ?? '');
      case 'suspect':
        return this.recordSuspect(message.fingerprint, message.crashes);
    }
  }

  linkUp(agentId: string, agentIncarnation: string): void {
    [...this.calls.values()].forEach(call =>
      call.step({type: 'link-up', agentId, agentIncarnation}),
    );
  }

  linkDown(agentId: string): void {
    const event = {type: 'link-down', agentId} as const;
    [...this.calls.values()].forEach(call => call.step(event));
    this.groups.step(event);
  }

  callerGone(requestId: string): void {
    this.calls.get(requestId)?.step({type: 'caller-disconnected'});
    this.groups.callerGone(requestId);
  }

  drained(requestId: string): void {
    this.calls.get(requestId)?.drained();
    this.groups.drained(requestId);
  }

  tick(): void {
    [...this.calls.values()].forEach(call => call.step({type: 'tick'}));
    this.groups.step({type: 'tick'});
  }

  private enter(spec: CallSpec): Failure | undefined {
    const workspace = this.options.view().find('workspace', spec.workspace);
    if (!workspace) return undefined;
    return this.limits.enter(workspace, spec.promptTokens);
  }

  private linkTo(agentId: string): Link | undefined {
    return this.options.links.findByNode(agentId);
  }

  private startCall(
    spec: CallSpec,
    sink: CallSink,
    onEnd: () => void = () => undefined,
  ): EntryCall {
    const {router, views, view} = this.options;
    const {requestId, fingerprint} = spec;
    let hasEnded = false;
    const call = new EntryCall({
      spec,
      sink,
      router,
      views,
      linkTo: agentId => this.linkTo(agentId),
      configRevision: () => view().revision,
      crashes: suspectTable.crashCount(this.suspects, fingerprint, Date.now()),
      onCrash: crashes => this.onCrash(fingerprint, crashes),
      onEnd: () => {
        hasEnded = true;
        this.calls.delete(requestId);
        onEnd();
      },
    });
    if (!hasEnded) this.calls.set(requestId, call);
    return call;
  }

  private recordSuspect(fingerprint: string, crashes: number): void {
    this.suspects = suspectTable.record(
      this.suspects,
      fingerprint,
      crashes,
      Date.now(),
    );
  }

  private onCrash(fingerprint: string, crashes: number): void {
    this.recordSuspect(fingerprint, crashes);
    this.options.links.broadcast({type: 'suspect', fingerprint, crashes});
  }
}
