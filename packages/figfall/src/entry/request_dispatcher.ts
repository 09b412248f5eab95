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
import {GroupCallTable} from './group_call_table.js';
import {LedgerCheck} from './ledger_check.js';
import {observeRequest} from './observe_request.js';
import {WorkspaceLimits} from './workspace_limits.js';

interface RequestDispatcherOptions {
  readonly context: NodeContext;
  readonly settings: EntrySettings;
  readonly links: LinkTable;
  readonly views: AgentViews;
  readonly router: EntryRouter;
  readonly configView: () => ConfigView;
}

/**
 * Starts an entry's requests and passes events and agents' messages to them.
 * Used by the entry's task only.
 */
export class RequestDispatcher {
  /** Calls by request id; each part of a split prompt has its own id. */
  private readonly calls = new Map<string, EntryCall>();
  private readonly groups: GroupCallTable;
  private readonly workspaceLimits: WorkspaceLimits;
  private readonly ledgerCheck: LedgerCheck;
  private suspects = suspectTable.empty();

  constructor(private readonly options: RequestDispatcherOptions) {
    this.workspaceLimits = new WorkspaceLimits(options.settings.id);
    this.ledgerCheck = new LedgerCheck(options.context);
    this.groups = new GroupCallTable({
      router: options.router,
      zone: options.settings.zone,
      linkTo: agentId => this.linkTo(agentId),
      startCall: (spec, sink) => this.startCall(spec, sink),
    });
  }

  /** True while a request is running. */
  isBusy(): boolean {
    return this.calls.size > 0 || this.groups.isBusy();
  }

  /** Updates this entry's share of the workspace limits. */
  setInstances(instances: readonly Instance[]): void {
    this.workspaceLimits.setInstances(instances);
  }

  /** Starts a completion request. */
  complete(req: CompletionRequest, sink: CompletionSink): void {
    const {context, configView} = this.options;
    const {workspace} = req.metadata;
    const target = findTarget.model(configView(), workspace, req.model);
    if (target.isErr()) return sink.fail(target.error);
    const observed = observeRequest(context, req.metadata, req.promptTokens);
    const spec = buildSpec.completion(
      req,
      target.value,
      context.hash,
      observed,
      this.options.settings.routingPolicy,
    );
    const refusal = this.admit(spec);
    if (refusal) {
      observed.recordFailure(refusal);
      return sink.fail(refusal);
    }
    const onEnd = () => this.workspaceLimits.release(workspace);
    const callSink = observed.wrapSink({
      writeTokens: sink.writeTokens,
      complete: () => sink.complete(),
      fail: sink.fail,
    });
    this.options.router.recordRequest(spec);
    if (this.groups.needsGroup(spec)) {
      return this.groups.start(spec, req, callSink, onEnd);
    }
    this.startCall(spec, callSink, onEnd);
  }

  /** Starts a request to a plain service. */
  callService(
    req: ServiceRequest,
    reply: (answer: Result<PlainServiceResponse, Failure>) => void,
  ): void {
    const {context, configView} = this.options;
    const {workspace} = req.metadata;
    const service = findTarget.service(configView(), workspace, req.service);
    if (service.isErr()) return reply(err(service.error));
    const observed = observeRequest(context, req.metadata, 0);
    const spec = buildSpec.service(req, service.value, context.hash, observed);
    const fail = (failure: Failure) =>
      void this.ledgerCheck
        .correctRanState(spec, failure)
        .then(corrected => reply(err(corrected)));
    const refusal = this.admit(spec);
    if (refusal) {
      observed.recordFailure(refusal);
      return fail(refusal);
    }
    const sink = observed.wrapSink({
      writeTokens: () => true,
      complete: ({response}) => {
        if (response) reply(ok(response));
      },
      fail,
    });
    this.options.router.recordRequest(spec);
    this.startCall(spec, sink, () => this.workspaceLimits.release(workspace));
  }

  /** Passes an agent's message to the request that it concerns. */
  handleMessage(event: Extract<LinkEvent, {readonly type: 'message'}>): void {
    const {message, link, windowBytes} = event;
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
        if (call) call.handleMessage(message, link, windowBytes);
        else link.returnCredit(message.callId, windowBytes);
        return;
      }
      case 'reserved':
      case 'not-reserved':
        return this.groups.handleMessage(message, link.peer()?.id ?? '');
      case 'suspect':
        return this.recordSuspect(message.fingerprint, message.crashes);
    }
  }

  handleLinkUp(agentId: string, agentIncarnation: string): void {
    [...this.calls.values()].forEach(call =>
      call.step({type: 'link-up', agentId, agentIncarnation}),
    );
  }

  handleLinkDown(agentId: string): void {
    const event = {type: 'link-down', agentId} as const;
    [...this.calls.values()].forEach(call => call.step(event));
    this.groups.step(event);
  }

  handleDisconnect(requestId: string): void {
    this.calls.get(requestId)?.step({type: 'caller-disconnected'});
    this.groups.handleDisconnect(requestId);
  }

  handleDrain(requestId: string): void {
    this.calls.get(requestId)?.handleDrain();
    this.groups.handleDrain(requestId);
  }

  tick(): void {
    [...this.calls.values()].forEach(call => call.step({type: 'tick'}));
    this.groups.step({type: 'tick'});
  }

  private admit(spec: CallSpec): Failure | undefined {
    const workspace = this.options
      .configView()
      .find('workspace', spec.workspace);
    if (!workspace) return undefined;
    return this.workspaceLimits.admit(workspace, spec.promptTokens);
  }

  private linkTo(agentId: string): Link | undefined {
    return this.options.links.findByNode(agentId);
  }

  private startCall(
    spec: CallSpec,
    sink: CallSink,
    onEnd: () => void = () => undefined,
  ): EntryCall {
    const {router, views, configView} = this.options;
    const {requestId, fingerprint} = spec;
    let hasEnded = false;
    const call = new EntryCall({
      spec,
      sink,
      router,
      views,
      linkTo: agentId => this.linkTo(agentId),
      configRevision: () => configView().revision,
      crashes: suspectTable.crashCount(this.suspects, fingerprint, Date.now()),
      onCrash: crashes => this.handleCrash(fingerprint, crashes),
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

  private handleCrash(fingerprint: string, crashes: number): void {
    this.recordSuspect(fingerprint, crashes);
    this.options.links.broadcast({type: 'suspect', fingerprint, crashes});
  }
}
