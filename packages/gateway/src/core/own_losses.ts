import type {SuspectChange} from '@figfall/decisions';

type ServerLost = Extract<SuspectChange, {readonly type: 'server-lost'}>;

interface OwnLoss {
  readonly change: ServerLost;
  /** Monotonic time in milliseconds. */
  readonly at: number;
}

/** Milliseconds for which a loss is kept for gateways that are linked later. */
const LOSS_KEPT_MS = 10_000;

/** Losses that are kept for gateways that are linked later. */
const LOSSES_MAX = 256;

/** Parts of prompts in these losses, together. */
const PARTS_MAX = 16_384;

/** What this gateway has lost of late, for gateways that are linked later. */
export class OwnLosses {
  /** Oldest first. */
  private losses: readonly OwnLoss[] = [];

  add(change: ServerLost, at: number): void {
    this.losses = [...this.losses, {change, at}].slice(-LOSSES_MAX);
    while (this.partCount() > PARTS_MAX) this.losses = this.losses.slice(1);
  }

  private partCount(): number {
    return this.losses.reduce((sum, {change}) => sum + change.parts.length, 0);
  }

  /** The losses that still matter, with their ages. */
  recent(now: number): readonly ServerLost[] {
    return this.losses
      .filter(({at}) => now - at < LOSS_KEPT_MS)
      .map(({change, at}) => ({...change, ageMs: now - at}));
  }
}
