/** Fields of a structured log line beside time, level and message. */
export interface LogFields {
  readonly requestId?: string;
  readonly callId?: string;
  readonly workspace?: string;
  /** Kind of an error. */
  readonly kind?: string;
  readonly [name: string]: string | number | boolean | undefined;
}
