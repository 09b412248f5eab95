import type {LinkEvent} from '@figfall/node-link';

/** Configuration revisions that linked nodes have told of themselves. */
export class RevisionBoard {
  private readonly revisions = new Map<string, number>();

  /** Notes the digest of a peer; forgets peers whose link is down. */
  follow(event: LinkEvent): void {
    const id = event.type === 'link-up' ? event.peer.id : event.link.peer()?.id;
    if (!id) return;
    if (event.type === 'link-down') this.revisions.delete(id);
    if (event.type !== 'message') return;
    const {message} = event;
    if (message.type === 'digest') {
      this.revisions.set(id, message.digest.revision);
    }
  }

  list(): {readonly id: string; readonly revision: number}[] {
    return [...this.revisions].map(([id, revision]) => ({id, revision}));
  }
}
