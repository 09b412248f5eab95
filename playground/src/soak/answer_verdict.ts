/**
 * How a request ended at its caller: with a complete answer, without one, or
 * without one for a reason that the users' rules allow.
 */
export type AnswerVerdict =
  | 'answered'
  | 'unanswered'
  /** The connection failed before its last byte was sent. */
  | 'unsent'
  /** Crossed the close of its connection; passed on to no server. */
  | 'unread'
  | 'caller-left'
  | 'deadline'
  /** Its gateway was killed or paused, then or shortly before. */
  | 'gateway-disrupted'
  /** Its server worked on to the end of the grace period of its gateway. */
  | 'grace-period'
  | 'server-broke-off'
  /** All servers that its route allows have failed or broken off. */
  | 'attempts-spent'
  /** The link to its server stalled the connection for good. */
  | 'link-harmed';
