/** A parsed log line of a figfall process. */
export interface LogLine {
  /** Unix time in milliseconds, by the clock of the process's machine. */
  readonly time: number;
  /** Id of the node that wrote the line. */
  readonly node: string;
  readonly message: string;
  readonly fields: Readonly<Record<string, unknown>>;
}
