import {locateKey, ranStateOfKey} from '@figfall/decisions';
import type {ClaimSegment, Failure} from '@figfall/decisions';
import {AGENT} from '../agent/agent_constants.js';
import type {NodeContext} from '../node/node_context.js';
import type {CallSpec} from './call_spec.js';

type Finding = Parameters<typeof ranStateOfKey>[0];

/**
 * Checks a refusal that says "not run" against the claim ledger, because an
 * earlier request with the same key may have run.
 */
export class LedgerCheck {
  constructor(private readonly context: NodeContext) {}

  async verify(spec: CallSpec, failure: Failure): Promise<Failure> {
    const {key} = spec;
    if (!key || spec.idempotent || failure.ran !== 'no') return failure;
    const finding = await this.find(spec, key);
    const ran = ranStateOfKey(finding, Date.now() - key.createdAt);
    if (ran === 'no') return failure;
    const message = `${failure.message} An earlier request with this idempotency key may have run; send it again with the same key to learn its outcome.`;
    return {...failure, ran, message};
  }

  private async find(
    spec: CallSpec,
    key: NonNullable<CallSpec['key']>,
  ): Promise<Finding> {
    const location = locateKey(
      {workspace: spec.workspace, service: spec.target, ...key},
      {
        retentionMs: Number.MAX_SAFE_INTEGER,
        segmentMs: AGENT.LEDGER_SEGMENT_MS,
        shards: AGENT.LEDGER_SHARDS,
      },
      this.context.hash,
      Date.now(),
    );
    if (location.isErr()) return 'absent';
    const name = `${spec.workspace}/${key.key}`;
    return this.findIn(location.value.prefix, name, 0);
  }

  private async findIn(
    prefix: string,
    name: string,
    part: number,
  ): Promise<Finding> {
    const got = await this.context.platform.get(`${prefix}/${part}`);
    if (got.isErr()) {
      return got.error.type === 'not-found' ? 'absent' : 'unreadable';
    }
    const {claims, sealed} = JSON.parse(got.value.value) as ClaimSegment;
    const claim = Object.hasOwn(claims, name) ? claims[name] : undefined;
    if (claim) return claim.state;
    return sealed ? this.findIn(prefix, name, part + 1) : 'absent';
  }
}
