/** Output of a command. */
export interface Output {
  /** Writes a line to standard output. */
  readonly print: (line: string) => void;
  /** Writes a line to standard error. */
  readonly printError: (line: string) => void;
}
