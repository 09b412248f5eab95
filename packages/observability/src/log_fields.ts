/** Fields of a log line in addition to time, level, node, scope and message. */
export interface LogFields {
  readonly requestId?: string;
  readonly callId?: string;
  readonly workspace?: string;
  /** Error kind. */
  readonly kind?: string;
  readonly [name: string]: string | number | boolean | undefined;
}
