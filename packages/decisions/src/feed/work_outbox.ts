import type {FeedChange} from './feed_change.js';

/**
 * Milliseconds without an echo of a section after which its relay is taken to
 * be silent; the silence time-out of a link would cost three times as long.
 */
const ECHO_TIMEOUT_MS = 1_000;

/** Changes of the own work that have not reached the other gateways for sure. */
interface WorkOutbox {
  /** Number of the newest change. */
  readonly newest: number;
  /** Number of the newest change that was sent. */
  readonly sent: number;
  /** Changes up to `newest` that no relay has echoed and none were sent directly. */
  readonly open: readonly FeedChange[];
  /** Time since when a relay owes an echo. */
  readonly echoDueSince?: number;
}

/** Changes of the own work, ready to be sent. */
type OutboxBatch = readonly [
  WorkOutbox,
  {readonly lastNumber: number; readonly changes: readonly FeedChange[]},
];

/**
 * Numbers the changes of a gateway's own work and keeps them until its relay
 * has echoed them, so that a lost relay costs no changes.
 */
export const workOutbox = {
  empty(): WorkOutbox {
    return {newest: 0, sent: 0, open: []};
  },

  add(outbox: WorkOutbox, change: FeedChange): WorkOutbox {
    const {newest, open} = outbox;
    return {...outbox, newest: newest + 1, open: [...open, change]};
  },

  hasUnsent({newest, sent}: WorkOutbox): boolean {
    return newest > sent;
  },

  /** Takes the unsent changes for a relay; they stay until it echoes them. */
  takeForRelay(outbox: WorkOutbox, now: number): OutboxBatch {
    const {newest, sent, open, echoDueSince = now} = outbox;
    const changes = sent < newest ? open.slice(sent - newest) : [];
    return [
      {...outbox, sent: newest, echoDueSince},
      {lastNumber: newest, changes},
    ];
  },

  /** Takes all open changes, to be sent to each gateway directly. */
  takeForAll({newest, open}: WorkOutbox): OutboxBatch {
    return [
      {newest, sent: newest, open: []},
      {lastNumber: newest, changes: open},
    ];
  },

  /** Removes the changes that a relay has delivered. */
  acknowledge(outbox: WorkOutbox, number: number, now: number): WorkOutbox {
    const {newest, sent, open} = outbox;
    const unechoed = Math.max(0, newest - number);
    if (unechoed >= open.length) return outbox;
    const echoDueSince = number < sent ? now : undefined;
    return {
      newest,
      sent: Math.max(sent, newest - unechoed),
      open: unechoed === 0 ? [] : open.slice(-unechoed),
      echoDueSince,
    };
  },

  /** Makes open changes unsent, as another way is used from now on. */
  reroute({newest, open}: WorkOutbox): WorkOutbox {
    return {newest, sent: newest - open.length, open};
  },

  /** True if the relay has not echoed what was sent to it in time. */
  isEchoLate({echoDueSince}: WorkOutbox, now: number): boolean {
    return echoDueSince !== undefined && now - echoDueSince >= ECHO_TIMEOUT_MS;
  },
};
