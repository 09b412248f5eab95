import type {Link, LinkEvent, PeerMessage} from '@figfall/node-link';

/** Stream of messages that belong to no call. */
const CONTROL_STREAM = 'control';

/** The links of a node that are up. */
export class LinkTable {
  private readonly links = new Map<string, Link>();

  /** Follows links as they come and go. */
  handleLinkEvent(event: LinkEvent): void {
    if (event.type === 'link-up') {
      this.links.set(event.link.linkId, event.link);
    }
    if (event.type === 'link-down') this.links.delete(event.link.linkId);
  }

  find(linkId: string): Link | undefined {
    return this.links.get(linkId);
  }

  /** Returns the newest link to a node. */
  findByNode(nodeId: string): Link | undefined {
    return this.all().findLast(link => link.peer()?.id === nodeId);
  }

  all(): Link[] {
    return [...this.links.values()];
  }

  /** Sends a message to all peers, or all but one. */
  broadcast(message: PeerMessage, exceptLinkId?: string): void {
    this.all()
      .filter(({linkId}) => linkId !== exceptLinkId)
      .forEach(link => link.send(CONTROL_STREAM, message));
  }
}
