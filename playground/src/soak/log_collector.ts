import {execFileSync, spawn} from 'node:child_process';
import type {ChildProcess} from 'node:child_process';
import {closeSync, openSync} from 'node:fs';

/** Creates a named pipe and opens it for writing without a reader. */
function createPipe(path: string): number {
  execFileSync('mkfifo', [path]);
  const both = openSync(path, 'r+');
  const writer = openSync(path, 'w');
  closeSync(both);
  return writer;
}

/**
 * A process that reads the output of another one from a pipe and appends it to
 * a file, as a log collector does. It can go away, come back and stop reading.
 */
export class LogCollector {
  /** File descriptor for the output of the other process. */
  readonly input: number;
  private readonly pipePath: string;
  private reader?: ChildProcess;

  constructor(private readonly logPath: string) {
    this.pipePath = `${logPath}.pipe`;
    this.input = createPipe(this.pipePath);
    this.start();
  }

  /** Reads on; does nothing if it reads already. */
  start(): void {
    if (this.reader) return;
    const pipe = openSync(this.pipePath, 'r');
    const log = openSync(this.logPath, 'a');
    this.reader = spawn('cat', {stdio: [pipe, log, 'ignore']});
    closeSync(pipe);
    closeSync(log);
  }

  /** Goes away: writes to the pipe fail until it starts again. */
  kill(): void {
    this.reader?.kill('SIGKILL');
    this.reader = undefined;
  }

  /** Reads no further; writes to the pipe wait once it is full. */
  pause(): void {
    this.reader?.kill('SIGSTOP');
  }

  resume(): void {
    this.reader?.kill('SIGCONT');
  }

  /** Ends once all output has been read. */
  close(): void {
    this.start();
    this.resume();
    closeSync(this.input);
  }
}
