import {storeRelays} from '@figfall/decisions';
import type {PeerMessage} from '@figfall/node-link';

type StoreReport = Extract<PeerMessage, {readonly type: 'seen'}>;

/** What a gateway says of its copies of the store, by kind of object. */
type StoreCopies = NonNullable<StoreReport['copies']>;

interface StoreReportsOptions {
  /** Monotonic time in milliseconds. */
  readonly now: () => number;
  /** True if this gateway watches the store for the others. */
  readonly isRelay: () => boolean;
  /** True if this gateway's last calls to the store succeeded. */
  readonly isStoreReachable: () => boolean;
  /** What this gateway has read of the store. @default nothing */
  readonly copies?: () => StoreCopies;
  /** Sends a report to all linked gateways. */
  readonly send: (report: StoreReport) => void;
}

/** Times at which the store confirmed copies, by kind of object. */
type ConfirmedAt = ReadonlyMap<string, number>;

/** Tells the other gateways what a relay knows of the store. */
export class StoreReports {
  /** Newest store revision seen here, by kind of object, and its era. */
  private seen: Pick<StoreReport, 'revisions'> & {readonly era: number} = {
    era: 0,
    revisions: {},
  };
  private sentAt = -Infinity;
  private sentConfirmedAt: ConfirmedAt = new Map();

  constructor(private readonly options: StoreReportsOptions) {}

  /** Notes the newest store revision of a kind; a relay sends it on. */
  announceRevision(kind: string, revision: number, era: number): void {
    const known = this.seen.era === era ? this.seen.revisions : {};
    this.seen = {era, revisions: {...known, [kind]: revision}};
    this.send(this.copies());
  }

  /** Sends a report if one is due. */
  tick(): void {
    if (!this.options.isRelay()) return;
    const copies = this.copies();
    const sinceReportMs = this.options.now() - this.sentAt;
    const advances = [...this.confirmedAt(copies)].map(
      ([kind, at]) => at - (this.sentConfirmedAt.get(kind) ?? -Infinity),
    );
    const advanceMs = Math.max(0, ...advances);
    if (storeRelays.isReportDue(sinceReportMs, advanceMs)) this.send(copies);
  }

  private copies(): StoreCopies {
    return this.options.copies?.() ?? {};
  }

  private confirmedAt(copies: StoreCopies): ConfirmedAt {
    const now = this.options.now();
    return new Map(
      Object.entries(copies).map(([kind, {ageMs}]) => [kind, now - ageMs]),
    );
  }

  private send(copies: StoreCopies): void {
    const {isRelay, isStoreReachable, now, send} = this.options;
    if (!isRelay()) return;
    this.sentAt = now();
    this.sentConfirmedAt = this.confirmedAt(copies);
    send({
      type: 'seen',
      ...this.seen,
      isStoreReachable: isStoreReachable(),
      copies,
    });
  }
}
