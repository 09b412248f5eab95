import {spawn} from 'node:child_process';
import type {ChildProcess} from 'node:child_process';
import {createWriteStream} from 'node:fs';
import {fileURLToPath} from 'node:url';

interface GatewayProcessOptions {
  readonly name: string;
  readonly settingsPath: string;
  /** Path of the log file, which restarts append to. */
  readonly logPath: string;
  /** Called with the reason when the process exits without being asked to. */
  readonly onUnexpectedExit: (reason: string) => void;
}

const PROGRAM_PATH = fileURLToPath(
  new URL('../../../target/figfall.cjs', import.meta.url),
);

/** Delay between the exit of a process and its restart. */
const RESTART_DELAY_MS = 400;

/** A gateway in a child process, which is restarted whenever it exits. */
export class GatewayProcess {
  private child?: ChildProcess;
  private isExitExpected = false;
  private hasPrintedOutput = false;
  private isClosed = false;
  private restartTimer?: NodeJS.Timeout;

  constructor(private readonly options: GatewayProcessOptions) {}

  /** Starts the process and returns before it serves. */
  start(): void {
    const {settingsPath, logPath, name, onUnexpectedExit} = this.options;
    this.isExitExpected = false;
    this.hasPrintedOutput = false;
    const child = spawn(process.execPath, [PROGRAM_PATH], {
      env: {...process.env, FIGFALL_NODE_FILE: settingsPath},
      stdio: ['ignore', 'pipe', 'pipe'],
    });
    const log = createWriteStream(logPath, {flags: 'a'});
    child.stdout.once('data', () => {
      this.hasPrintedOutput = true;
    });
    child.stdout.pipe(log);
    child.stderr.pipe(log);
    this.child = child;
    child.once('exit', (code, signal) => {
      if (!this.isExitExpected) {
        onUnexpectedExit(`${name} exited with ${code ?? signal}`);
      }
      if (this.isClosed) return;
      this.restartTimer = setTimeout(() => this.start(), RESTART_DELAY_MS);
    });
  }

  /**
   * Returns true once the program has printed output, until it is killed.
   * Before that its signal handlers may be missing, and a signal would end the
   * process by default; no request has been accepted by then.
   */
  isRunning(): boolean {
    return this.hasPrintedOutput;
  }

  /** Sends a signal that does not end the process. */
  signal(signal: 'SIGSTOP' | 'SIGCONT' | 'SIGHUP'): void {
    this.child?.kill(signal);
  }

  /** Kills the process; resolves with its exit code, null after a signal. */
  kill(): Promise<number | null> {
    this.hasPrintedOutput = false;
    return this.terminate('SIGKILL');
  }

  /** Asks the process to stop; resolves with its exit code. */
  stop(): Promise<number | null> {
    return this.terminate('SIGTERM');
  }

  /** Stops the process without a restart; resolves with its exit code. */
  async close(): Promise<number | null> {
    this.isClosed = true;
    clearTimeout(this.restartTimer);
    this.signal('SIGCONT');
    return this.stop();
  }

  private terminate(signal: NodeJS.Signals): Promise<number | null> {
    const {child} = this;
    const hasExited = !child || child.exitCode !== null || child.signalCode;
    if (hasExited) return Promise.resolve(child?.exitCode ?? 0);
    this.isExitExpected = true;
    return new Promise(resolve => {
      child.once('exit', code => resolve(code));
      child.kill(signal);
    });
  }
}
