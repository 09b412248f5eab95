/** One line of a process's log. */
export interface LogLine {
  /** Time of day in milliseconds, by the clock of the process's machine. */
  readonly time: number;
  readonly node: string;
  readonly message: string;
  readonly fields: Readonly<Record<string, unknown>>;
}
