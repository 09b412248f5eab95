/** Where a command writes. */
export interface Output {
  /** Writes a line to standard output. */
  readonly print: (line: string) => void;
  /** Writes a line to standard error. */
  readonly complain: (line: string) => void;
}
