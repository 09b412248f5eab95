import {isFeedChange, ownerProgress} from '@figfall/decisions';
import type {WorkSection} from '@figfall/decisions';
import type {PeerMessage} from '@figfall/node-link';
import type {FeedOptions} from './feed_options.js';

type Progress = ReturnType<typeof ownerProgress.complete>;

type WorkMessage = Extract<PeerMessage, {readonly type: 'work'}>;

/** A linked gateway whose work is known here. */
interface Owner {
  readonly gatewayId: string;
  readonly progress: Progress;
}

type PeerOwnersOptions = Pick<
  FeedOptions,
  'now' | 'send' | 'apply' | 'replace' | 'onResync'
>;

/** What the linked gateways have announced of their work, in their order. */
export class PeerOwners {
  /** By incarnation; only gateways with a link to this one. */
  private readonly owners = new Map<string, Owner>();

  constructor(private readonly options: PeerOwnersOptions) {}

  /** Applies what a gateway has sent itself. */
  receiveWork(gatewayId: string, owner: string, message: WorkMessage): void {
    const {changes, lastNumber, isComplete = false} = message;
    if (lastNumber === undefined) return this.applyAll(changes, owner);
    const section = {owner, lastNumber, changes: changes.filter(isFeedChange)};
    const others = changes.filter(change => !isFeedChange(change));
    this.applyAll(others, owner);
    if (!isComplete) return this.receiveSection(section);
    const known = this.owners.get(owner)?.progress.newest ?? 0;
    // Newer changes were applied that this answer lacks; another one follows.
    if (lastNumber < known) return;
    const progress = ownerProgress.complete(lastNumber);
    this.owners.set(owner, {gatewayId, progress});
    this.options.replace(section.changes, owner);
  }

  /** Applies what is new of a section, unless its owner has no link. */
  receiveSection(section: WorkSection): void {
    const known = this.owners.get(section.owner);
    if (!known) return;
    const {now} = this.options;
    const [progress, changes] = ownerProgress.receive(
      known.progress,
      section,
      now(),
    );
    this.owners.set(section.owner, {...known, progress});
    this.applyAll(changes, section.owner);
  }

  /** Notes the number of the newest change that a gateway has sent. */
  receiveDigest(gatewayId: string, owner: string, number: number): void {
    const now = this.options.now();
    const {progress = ownerProgress.unknown(now)} =
      this.owners.get(owner) ?? {};
    const next = ownerProgress.expect(progress, number, now);
    this.owners.set(owner, {gatewayId, progress: next});
  }

  /** Forgets a gateway whose link is lost. */
  remove(owner: string): void {
    this.owners.delete(owner);
  }

  /** Asks gateways for all of their work if changes have been lost. */
  askOverdue(): void {
    const {now, send, onResync} = this.options;
    [...this.owners]
      .filter(([, {progress}]) => ownerProgress.isOverdue(progress, now()))
      .forEach(([owner, {gatewayId, progress}]) => {
        const asked = ownerProgress.noteAsked(progress, now());
        this.owners.set(owner, {gatewayId, progress: asked});
        send(gatewayId, {type: 'work-resync'});
        onResync(gatewayId);
      });
  }

  private applyAll(changes: WorkMessage['changes'], owner: string): void {
    changes.forEach(change => this.options.apply(change, owner));
  }
}
