import type {
  CompletionRequest,
  CompletionSink,
  ServiceRequest,
} from '@figfall/caller';
import {suspectTable} from '@figfall/decisions';
import type {Failure, Instance} from '@figfall/decisions';
import type {Link, LinkEvent, PlainResponse} from '@figfall/node-link';
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
import {GroupCall} from './group_call.js';
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
  private readonly groups = new Map<string, GroupCall>();
  private readonly limits: WorkspaceLimits;
  private readonly ledgerCheck: LedgerCheck;
  private suspects = suspectTable.empty();

  constructor(private readonly options: RequestDeskOptions) {
    this.limits = new WorkspaceLimits(options.settings.id);
    this.ledgerCheck = new LedgerCheck(options.context);
  }

  isBusy(): boolean {
    return this.calls.size + this.groups.size > 0;
  }

  setInstances(instances: readonly Instance[]): void {
    this.limits.setInstances(instances);
  }

  complete(req: CompletionRequest, sink: CompletionSink): void {
    const {context, view} = this.options;
    const {workspace} = req.identity;
    const target = findTarget.model(view(), workspace, req.model);
    if (target.isErr()) return sink.fail(target.error);
    const observed = observeRequest(context, req.identity, req.promptTokens);
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
      tokens: sink.tokens,
      complete: () => sink.complete(),
      fail: sink.fail,
    });
    this.options.router.recordRequest(spec);
    if (!this.needsGroup(spec)) {
      return void this.startCall(spec, callSink, leave);
    }
    this.startGroup(spec, req, callSink, leave);
  }

  callService(
    req: ServiceRequest,
    reply: (answer: Result<PlainResponse, Failure>) => void,
  ): void {
    const {context, view} = this.options;
    const {workspace} = req.identity;
    const service = findTarget.service(view(), workspace, req.service);
    if (service.isErr()) return reply(err(service.error));
    const observed = observeRequest(context, req.identity, 0);
    const spec = buildSpec.service(req, service.value, observed);
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
    const {message, link, cost} = event;
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
        else link.consumed(message.callId, cost);
        return;
      }
      case 'reserved':
      case 'not-reserved':
        return this.receiveReservation(message, link);
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
    [...this.groups.values()].forEach(group => group.step(event));
  }

  callerGone(requestId: string): void {
    this.calls.get(requestId)?.step({type: 'caller-gone'});
    this.groups.get(requestId)?.callerGone();
  }

  drained(requestId: string): void {
    this.calls.get(requestId)?.drained();
    this.groups.get(requestId)?.drained();
  }

  tick(): void {
    [...this.calls.values()].forEach(call => call.step({type: 'tick'}));
    [...this.groups.values()].forEach(group => group.step({type: 'tick'}));
  }

  private enter(spec: CallSpec): Failure | undefined {
    const workspace = this.options.view().find('workspace', spec.workspace);
    if (!workspace) return undefined;
    return this.limits.enter(workspace, spec.promptTokens);
  }

  /** True where no single engine in service can hold the prompt. */
  private needsGroup(spec: CallSpec): boolean {
    const sizes = this.options.router
      .serving(spec)
      .map(({report}) => report.totalTokens);
    return sizes.length > 0 && spec.totalTokens > Math.max(...sizes);
  }

  private linkTo(agentId: string): Link | undefined {
    return this.options.links.toNode(agentId);
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
      crashes: suspectTable.crashes(this.suspects, fingerprint, Date.now()),
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

  private startGroup(
    spec: CallSpec,
    req: CompletionRequest,
    sink: CallSink,
    onEnd: () => void,
  ): void {
    const {router, settings} = this.options;
    const {requestId} = spec;
    const group = new GroupCall({
      spec,
      prompt: req.prompt,
      outputTokens: req.maxTokens,
      zone: settings.zone,
      sink,
      router,
      linkTo: agentId => this.linkTo(agentId),
      startCall: (part, partSink) => this.startCall(part, partSink),
      onEnd: () => {
        this.groups.delete(requestId);
        onEnd();
      },
    });
    if (!group.isEnded()) this.groups.set(requestId, group);
  }

  private receiveReservation(
    message: Extract<
      Extract<LinkEvent, {readonly type: 'message'}>['message'],
      {readonly type: 'reserved' | 'not-reserved'}
    >,
    link: Link,
  ): void {
    const requestId = message.reservationId.replace(/\.g\d+$/, '');
    const agentId = link.peer()?.id ?? '';
    const group = this.groups.get(requestId);
    if (!group?.owns(message.reservationId)) return;
    group.step(
      message.type === 'reserved'
        ? {type: 'reserved', agentId}
        : {type: 'not-reserved', agentId, failure: message.failure},
    );
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
