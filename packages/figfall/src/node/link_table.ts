import type {Link, LinkEvent, PeerMessage} from '@figfall/node-link';

/** Stream id of messages that belong to no call. */
const CONTROL_STREAM = 'control';

/** The open links of a node, by link id. */
export class LinkTable {
  private readonly links = new Map<string, Link>();

  /** Adds a link that came up or removes one that went down. */
  handleLinkEvent(event: LinkEvent): void {
    if (event.type === 'link-up') {
      this.links.set(event.link.linkId, event.link);
    }
    if (event.type === 'link-down') this.links.delete(event.link.linkId);
  }

  find(linkId: string): Link | undefined {
    return this.links.get(linkId);
  }

  /** Returns the newest of the links to a node. */
  findByNode(nodeId: string): Link | undefined {
    return this.all().findLast(link => link.peer()?.id === nodeId);
  }

  all(): Link[] {
    return [...this.links.values()];
  }

  /** Sends a message on all links, except one if it is given. */
  broadcast(message: PeerMessage, exceptLinkId?: string): void {
    this.all()
      .filter(({linkId}) => linkId !== exceptLinkId)
      .forEach(link => link.send(CONTROL_STREAM, message));
  }
}
