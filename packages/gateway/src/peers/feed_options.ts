import type {FeedChange, FeedMember, WorkChange} from '@figfall/decisions';
import type {PeerMessage} from '@figfall/node-link';

/** Options of a gateway's work feed. */
export interface FeedOptions {
  /** This gateway. */
  readonly own: FeedMember;
  /** Unique id of this gateway's process, as owner of its work. */
  readonly owner: string;
  readonly now: () => number;
  /** Sends a message to a linked gateway. */
  readonly send: (gatewayId: string, message: PeerMessage) => void;
  /** Changes that tell of all work of this gateway. */
  readonly ownWork: () => readonly WorkChange[];
  /** Applies a change that another gateway has announced. */
  readonly apply: (change: WorkChange, owner: string) => void;
  /** Replaces what is known of another gateway's work. */
  readonly replace: (changes: readonly FeedChange[], owner: string) => void;
  /** Called when a gateway is asked for all of its work, as changes were lost. */
  readonly onResync: (gatewayId: string) => void;
  /** Called when another relay, or none, is used; `isOwn` if it is this gateway. */
  readonly onRelay: (relayId: string | undefined, isOwn: boolean) => void;
}
