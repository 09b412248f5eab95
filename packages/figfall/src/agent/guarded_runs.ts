import {createFailure, resolveClaim, locateKey} from '@figfall/decisions';
import type {
  Claim,
  ClaimOutcome,
  ClaimResult,
  Failure,
} from '@figfall/decisions';
import type {OpenCall, PlainServiceResponse} from '@figfall/node-link';
import type {NodeContext} from '../node/node_context.js';
import {AGENT} from './agent_constants.js';
import type {ClaimLedger} from './claim_ledger.js';

/** What became of a request that may run at most once. */
type GuardedResult =
  | {readonly type: 'ran'; readonly response: PlainServiceResponse}
  | {readonly type: 'lost'; readonly failure: Failure}
  | {readonly type: 'known'; readonly outcome: ClaimOutcome}
  | {
      readonly type: 'not-run';
      readonly failure: Failure;
      readonly askAgent?: string;
    };

interface GuardedRunsOptions {
  readonly context: NodeContext;
  readonly ledger: ClaimLedger;
  readonly retentionMs: number;
}

interface Fate {
  readonly state: 'running' | 'dispatched';
  readonly since: number;
  readonly outcome?: ClaimOutcome;
}

type KeyedCall = OpenCall & {readonly key: NonNullable<OpenCall['key']>};

function toOutcome(response: PlainServiceResponse): ClaimOutcome {
  const {status, contentType, body} = response;
  const fits = body.byteLength <= AGENT.OUTCOME_BYTES_MAX;
  const text = fits ? Buffer.from(body).toString('base64') : undefined;
  return {status, contentType, body: text};
}

/** Runs requests that may run at most once, each under a claim. */
export class GuardedRuns {
  private readonly fates = new Map<string, Fate>();
  private readonly startedAt = Date.now();

  constructor(private readonly options: GuardedRunsOptions) {}

  /** Claims the key of a call and runs it, unless it may have run before. */
  async run(
    call: KeyedCall,
    deadlineAt: number,
    send: () => Promise<GuardedResult>,
  ): Promise<GuardedResult> {
    const location = this.locate(call);
    if (location.isErr()) return {type: 'not-run', failure: location.error};
    const {prefix} = location.value;
    const claimBy = Math.min(deadlineAt, Date.now() + AGENT.CLAIM_MS);
    this.setFate(call.callId, {state: 'running', since: Date.now()});
    const claimed = await this.claim(call, prefix, claimBy);
    if (claimed.type !== 'granted') {
      this.fates.delete(call.callId);
      return claimed;
    }
    const result = await send();
    this.finish(call, prefix, result);
    return result;
  }

  /** Forgets fates that no resend asks for any more. */
  tick(): void {
    const oldest = Date.now() - AGENT.FATE_MS;
    [...this.fates]
      .filter(([, {since}]) => since < oldest)
      .forEach(([attemptId]) => this.fates.delete(attemptId));
  }

  private locate(call: KeyedCall) {
    const {hash} = this.options.context;
    return locateKey(
      {workspace: call.workspace, service: call.target, ...call.key},
      {
        retentionMs: this.options.retentionMs,
        segmentMs: AGENT.LEDGER_SEGMENT_MS,
        shards: AGENT.LEDGER_SHARDS,
      },
      hash,
      Date.now(),
    );
  }

  private async claim(
    call: KeyedCall,
    prefix: string,
    claimBy: number,
    replaces?: string,
  ): Promise<{readonly type: 'granted'} | GuardedResult> {
    const result = await this.options.ledger.claim(
      prefix,
      this.claimOf(call),
      claimBy,
      replaces,
    );
    if (result.type === 'granted') return {type: 'granted'};
    if (result.type === 'exists') {
      return this.judge(call, prefix, claimBy, result.claim);
    }
    return {type: 'not-run', failure: this.failureOf(result)};
  }

  private judge(
    call: KeyedCall,
    prefix: string,
    claimBy: number,
    claim: Claim,
  ): GuardedResult | Promise<{readonly type: 'granted'} | GuardedResult> {
    const remembered = this.fates.get(claim.attemptId)?.outcome;
    const known: Claim = remembered
      ? {...claim, state: 'done', outcome: remembered}
      : claim;
    const {identity} = this.options.context;
    const judgement = resolveClaim(known, {
      agentId: identity.id,
      incarnation: identity.incarnation,
      fingerprint: call.fingerprint,
      attemptStatus: () => this.fateOf(claim),
    });
    switch (judgement.type) {
      case 'answer':
        return {type: 'known', outcome: judgement.outcome};
      case 'replace':
        return this.claim(call, prefix, claimBy, judgement.attemptId);
      case 'ask':
        return {
          type: 'not-run',
          failure: judgement.failure,
          askAgent: judgement.agentId,
        };
      case 'refuse':
        return {type: 'not-run', failure: judgement.failure};
    }
  }

  private claimOf(call: KeyedCall): Claim {
    const {identity} = this.options.context;
    return {
      key: `${call.workspace}/${call.key.key}`,
      attemptId: call.callId,
      agentId: identity.id,
      incarnation: identity.incarnation,
      fingerprint: call.fingerprint,
      claimedAt: Date.now(),
      state: 'claimed',
    };
  }

  /** An attempt that has no fate here was never dispatched, within reason. */
  private fateOf(claim: Claim) {
    const known = this.fates.get(claim.attemptId);
    if (known) return known.state;
    const oldest = Math.max(this.startedAt, Date.now() - AGENT.FATE_MS / 2);
    return claim.claimedAt < oldest ? 'forgotten' : 'never-dispatched';
  }

  private failureOf(result: ClaimResult): Failure {
    if (result.type === 'failed') return result.failure;
    return createFailure('internal-error', 'The claim was not settled.', {
      ran: 'no',
    });
  }

  private setFate(attemptId: string, fate: Fate): void {
    this.fates.set(attemptId, fate);
  }

  private finish(call: KeyedCall, prefix: string, result: GuardedResult): void {
    const since = Date.now();
    if (result.type !== 'ran') {
      const neverSent = result.type === 'lost' && result.failure.ran === 'no';
      if (neverSent) this.fates.delete(call.callId);
      else this.setFate(call.callId, {state: 'dispatched', since});
      return;
    }
    const outcome = toOutcome(result.response);
    this.setFate(call.callId, {state: 'dispatched', since, outcome});
    const attempt = {
      key: `${call.workspace}/${call.key.key}`,
      attemptId: call.callId,
    };
    const storeBy = since + AGENT.OUTCOME_STORE_MS;
    void this.options.ledger
      .store(prefix, attempt, outcome, storeBy)
      .then(isStored => {
        const {callId} = call;
        if (isStored) this.setFate(callId, {state: 'dispatched', since});
      });
  }
}
