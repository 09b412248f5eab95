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

/** Result of a request that may run at most once. */
type AtMostOnceResult =
  | {readonly type: 'completed'; readonly response: PlainServiceResponse}
  | {readonly type: 'failed'; readonly failure: Failure}
  | {readonly type: 'replayed'; readonly outcome: ClaimOutcome}
  | {
      readonly type: 'not-run';
      readonly failure: Failure;
      readonly askAgent?: string;
    };

interface AtMostOnceRunnerOptions {
  readonly context: NodeContext;
  readonly ledger: ClaimLedger;
  readonly retentionMs: number;
}

/** An attempt of this process, from its claim until it expires. */
interface Attempt {
  readonly state: 'running' | 'dispatched';
  /** Epoch milliseconds at which the attempt entered its state. */
  readonly since: number;
  /** Outcome, until it is stored in the ledger. */
  readonly outcome?: ClaimOutcome;
}

type KeyedCall = OpenCall & {readonly key: NonNullable<OpenCall['key']>};

function toOutcome(response: PlainServiceResponse): ClaimOutcome {
  const {status, contentType, body} = response;
  const fits = body.byteLength <= AGENT.MAX_STORED_OUTCOME_BYTES;
  const text = fits ? Buffer.from(body).toString('base64') : undefined;
  return {status, contentType, body: text};
}

/**
 * Runs non-idempotent requests with an idempotency key at most once. Each
 * attempt claims its key in the ledger before it is sent to the service.
 */
export class AtMostOnceRunner {
  private readonly attempts = new Map<string, Attempt>();
  private readonly startedAt = Date.now();

  constructor(private readonly options: AtMostOnceRunnerOptions) {}

  /**
   * Claims the key of a call and sends the call. If the key is already claimed,
   * returns the stored outcome or a failure without running the call, unless
   * the earlier attempt provably never ran.
   */
  async run(
    call: KeyedCall,
    deadlineAt: number,
    send: () => Promise<AtMostOnceResult>,
  ): Promise<AtMostOnceResult> {
    const location = this.locateClaim(call);
    if (location.isErr()) return {type: 'not-run', failure: location.error};
    const {prefix} = location.value;
    const claimBy = Math.min(deadlineAt, Date.now() + AGENT.CLAIM_TIMEOUT_MS);
    this.recordAttempt(call.callId, {state: 'running', since: Date.now()});
    const claimed = await this.claim(call, prefix, claimBy);
    if (claimed.type !== 'granted') {
      this.attempts.delete(call.callId);
      return claimed;
    }
    const result = await send();
    this.recordResult(call, prefix, result);
    return result;
  }

  /** Removes attempts that are older than the attempt retention. */
  removeExpired(): void {
    const oldest = Date.now() - AGENT.ATTEMPT_RETENTION_MS;
    [...this.attempts]
      .filter(([, {since}]) => since < oldest)
      .forEach(([attemptId]) => this.attempts.delete(attemptId));
  }

  private locateClaim(call: KeyedCall) {
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
  ): Promise<{readonly type: 'granted'} | AtMostOnceResult> {
    const result = await this.options.ledger.claim(
      prefix,
      this.createClaim(call),
      claimBy,
      replaces,
    );
    if (result.type === 'granted') return {type: 'granted'};
    if (result.type === 'exists') {
      return this.resolveExisting(call, prefix, claimBy, result.claim);
    }
    return {type: 'not-run', failure: this.toFailure(result)};
  }

  private resolveExisting(
    call: KeyedCall,
    prefix: string,
    claimBy: number,
    claim: Claim,
  ): AtMostOnceResult | Promise<{readonly type: 'granted'} | AtMostOnceResult> {
    const outcome = this.attempts.get(claim.attemptId)?.outcome;
    const current: Claim = outcome ? {...claim, state: 'done', outcome} : claim;
    const {identity} = this.options.context;
    const resolution = resolveClaim(current, {
      agentId: identity.id,
      incarnation: identity.incarnation,
      fingerprint: call.fingerprint,
      attemptStatus: () => this.attemptStatus(claim),
    });
    switch (resolution.type) {
      case 'answer':
        return {type: 'replayed', outcome: resolution.outcome};
      case 'replace':
        return this.claim(call, prefix, claimBy, resolution.attemptId);
      case 'ask':
        return {
          type: 'not-run',
          failure: resolution.failure,
          askAgent: resolution.agentId,
        };
      case 'refuse':
        return {type: 'not-run', failure: resolution.failure};
    }
  }

  private createClaim(call: KeyedCall): Claim {
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

  /**
   * Returns what this process knows of a claimed attempt. A claim without an
   * attempt here was never dispatched, unless the claim is so old that the
   * attempt may have been removed or may predate this process.
   */
  private attemptStatus(claim: Claim) {
    const attempt = this.attempts.get(claim.attemptId);
    if (attempt) return attempt.state;
    const oldest = Math.max(
      this.startedAt,
      Date.now() - AGENT.ATTEMPT_RETENTION_MS / 2,
    );
    return claim.claimedAt < oldest ? 'expired' : 'never-dispatched';
  }

  private toFailure(result: ClaimResult): Failure {
    if (result.type === 'failed') return result.failure;
    return createFailure(
      'internal-error',
      'The idempotency key could not be claimed.',
      {
        ran: 'no',
      },
    );
  }

  private recordAttempt(attemptId: string, attempt: Attempt): void {
    this.attempts.set(attemptId, attempt);
  }

  private recordResult(
    call: KeyedCall,
    prefix: string,
    result: AtMostOnceResult,
  ): void {
    const since = Date.now();
    if (result.type !== 'completed') {
      const neverSent = result.type === 'failed' && result.failure.ran === 'no';
      if (neverSent) this.attempts.delete(call.callId);
      else this.recordAttempt(call.callId, {state: 'dispatched', since});
      return;
    }
    const outcome = toOutcome(result.response);
    this.recordAttempt(call.callId, {state: 'dispatched', since, outcome});
    const attempt = {
      key: `${call.workspace}/${call.key.key}`,
      attemptId: call.callId,
    };
    const storeBy = since + AGENT.OUTCOME_STORE_TIMEOUT_MS;
    void this.options.ledger
      .store(prefix, attempt, outcome, storeBy)
      .then(isStored => {
        const {callId} = call;
        if (isStored) this.recordAttempt(callId, {state: 'dispatched', since});
      });
  }
}
