import type {LinkEvent} from '@figfall/node-link';

/** Configuration revisions that linked nodes have reported. */
export class PeerRevisions {
  private readonly revisions = new Map<string, number>();

  /**
   * Records the revision in a peer's digest, and removes peers whose link went
   * down. Returns true if a revision was changed or removed.
   */
  handleLinkEvent(event: LinkEvent): boolean {
    const id = event.link.peer()?.id;
    if (!id) return false;
    if (event.type === 'link-down') return this.revisions.delete(id);
    if (event.type !== 'message' || event.message.type !== 'digest') {
      return false;
    }
    const {revision} = event.message.digest;
    const hasChanged = this.revisions.get(id) !== revision;
    this.revisions.set(id, revision);
    return hasChanged;
  }

  /** Returns the known revisions, by node id. */
  list(): {readonly id: string; readonly revision: number}[] {
    return [...this.revisions].map(([id, revision]) => ({id, revision}));
  }
}
