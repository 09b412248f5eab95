import {locateKey, ranStateOfKey} from '@figfall/decisions';
import type {ClaimSegment, Failure} from '@figfall/decisions';
import {AGENT} from '../agent/agent_constants.js';
import type {NodeContext} from '../node/node_context.js';
import type {CallSpec} from './call_spec.js';

type LedgerFinding = Parameters<typeof ranStateOfKey>[0];

/**
 * Checks failures that say that a request did not run against the claim
 * ledger, because an earlier request with the same key may have run.
 */
export class LedgerCheck {
  constructor(private readonly context: NodeContext) {}

  /**
   * Returns the failure, with the `ran` state that the ledger shows if the
   * request has an idempotency key.
   */
  async correctRanState(spec: CallSpec, failure: Failure): Promise<Failure> {
    const {idempotencyKey: key} = spec;
    if (!key || spec.idempotent || failure.ran !== 'no') return failure;
    const finding = await this.findClaim(spec, key);
    const ran = ranStateOfKey(finding, Date.now() - key.createdAt);
    if (ran === 'no') return failure;
    const message = `${failure.message} An earlier request with this idempotency key may have run; send it again with the same key to get its outcome.`;
    return {...failure, ran, message};
  }

  private async findClaim(
    spec: CallSpec,
    key: NonNullable<CallSpec['idempotencyKey']>,
  ): Promise<LedgerFinding> {
    const location = locateKey(
      {workspace: spec.workspace, service: spec.target, ...key},
      {
        // Expired keys are looked up too.
        retentionMs: Number.MAX_SAFE_INTEGER,
        segmentMs: AGENT.LEDGER_SEGMENT_MS,
        shards: AGENT.LEDGER_SHARDS,
      },
      this.context.hash,
      Date.now(),
    );
    if (location.isErr()) return 'absent';
    const claimName = `${spec.workspace}/${key.key}`;
    return this.findInParts(location.value.prefix, claimName, 0);
  }

  /** Searches the parts of a ledger segment from number `part` on. */
  private async findInParts(
    prefix: string,
    claimName: string,
    part: number,
  ): Promise<LedgerFinding> {
    const read = await this.context.platform.get(`${prefix}/${part}`);
    if (read.isErr()) {
      return read.error.type === 'not-found' ? 'absent' : 'unreadable';
    }
    const {claims, sealed} = JSON.parse(read.value.value) as ClaimSegment;
    const claim = Object.hasOwn(claims, claimName)
      ? claims[claimName]
      : undefined;
    if (claim) return claim.state;
    return sealed ? this.findInParts(prefix, claimName, part + 1) : 'absent';
  }
}
