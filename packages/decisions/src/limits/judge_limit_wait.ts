/** Milliseconds after which a caller may ask again if a limit is 0. */
const ZERO_LIMIT_RETRY_MS = 5_000;

/** Milliseconds for which an issuer's answer tells how many others wait. */
const ANSWER_AGE_MAX_MS = 200;

/** A limited server that could take the request. */
interface LimitedServer {
  /** Requests a second that its issuer can permit. */
  readonly perSecond: number;
  /** Requests of other gateways that wait for it. */
  readonly othersWaiting: number;
  /** Time of its issuer's last answer, in milliseconds. */
  readonly heardAt: number;
}

interface LimitWait {
  /** Requests of this gateway that go first. */
  readonly position: number;
  /** Permits that this gateway holds for any of the servers. */
  readonly permits: number;
  readonly servers: readonly LimitedServer[];
  readonly joinedAt: number;
  /** Time in milliseconds until which it may wait for its turn. */
  readonly giveUpAt: number;
  /** True once its turn was expected in time. */
  readonly isAdmitted: boolean;
  /** True for a stream that has begun, which can't be refused any more. */
  readonly isResumed: boolean;
}

type Verdict =
  | {readonly type: 'send' | 'wait' | 'admit'}
  | {readonly type: 'refuse'; readonly retryAfterMs: number};

/** Expected milliseconds until the request's turn, at the soonest server. */
function expectedMs({position, servers}: LimitWait): number {
  const ownShare = Math.ceil((position + 1) / Math.max(1, servers.length));
  return Math.min(
    ...servers
      .filter(({perSecond}) => perSecond > 0)
      .map(
        ({perSecond, othersWaiting}) =>
          ((othersWaiting + ownShare) / perSecond) * 1_000,
      ),
  );
}

/**
 * Decides on a request whose servers have all named a request rate: send it
 * now, let it wait for its turn, or refuse it because its turn would come too
 * late. Once admitted, it waits for as long as its caller allows. Answers the
 * load of one gateway on the limited servers of a service.
 */
export function judgeLimitWait(wait: LimitWait, now: number): Verdict {
  const {position, permits, servers, isAdmitted, isResumed} = wait;
  if (position < permits) return {type: 'send'};
  if (isResumed) return {type: 'wait'};
  const turnMs = expectedMs(wait);
  if (turnMs === Infinity) {
    return {type: 'refuse', retryAfterMs: ZERO_LIMIT_RETRY_MS};
  }
  const leftMs = wait.giveUpAt - now;
  if (leftMs <= 0) return {type: 'refuse', retryAfterMs: turnMs};
  if (isAdmitted) return {type: 'wait'};
  const isRecent = ({heardAt}: LimitedServer) =>
    heardAt > wait.joinedAt - ANSWER_AGE_MAX_MS;
  if (!servers.some(isRecent)) return {type: 'wait'};
  return turnMs > leftMs
    ? {type: 'refuse', retryAfterMs: turnMs}
    : {type: 'admit'};
}
