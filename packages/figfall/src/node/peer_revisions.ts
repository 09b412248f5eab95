import type {LinkEvent} from '@figfall/node-link';

/** Configuration revisions that linked nodes have told of themselves. */
export class PeerRevisions {
  private readonly revisions = new Map<string, number>();

  /**
   * Notes the digest of a peer; forgets peers whose link is down. Returns
   * true where a revision has changed.
   */
  handleLinkEvent(event: LinkEvent): boolean {
    const id = event.link.peer()?.id;
    if (!id) return false;
    if (event.type === 'link-down') return this.revisions.delete(id);
    if (event.type !== 'message' || event.message.type !== 'digest') {
      return false;
    }
    const {revision} = event.message.digest;
    const isNews = this.revisions.get(id) !== revision;
    this.revisions.set(id, revision);
    return isNews;
  }

  list(): {readonly id: string; readonly revision: number}[] {
    return [...this.revisions].map(([id, revision]) => ({id, revision}));
  }
}
