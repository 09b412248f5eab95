import {spawn} from 'node:child_process';
import type {ChildProcess} from 'node:child_process';
import {createWriteStream} from 'node:fs';
import {fileURLToPath} from 'node:url';

interface GatewayProcessOptions {
  readonly name: string;
  readonly settingsPath: string;
  readonly logPath: string;
  /** Learns of a process that ended though nobody ended it. */
  readonly onCrash: (reason: string) => void;
}

const PROGRAM = fileURLToPath(
  new URL('../../../target/figfall.cjs', import.meta.url),
);

/** Milliseconds after which an ended process is started again. */
const RESTART_MS = 400;

/** A gateway as a process of its own, started again whenever it ends. */
export class GatewayProcess {
  private child?: ChildProcess;
  private isExpected = false;
  private hasBegun = false;
  private isClosed = false;
  private restart?: NodeJS.Timeout;

  constructor(private readonly options: GatewayProcessOptions) {}

  start(): void {
    const {settingsPath, logPath, name, onCrash} = this.options;
    this.isExpected = false;
    this.hasBegun = false;
    const child = spawn(process.execPath, [PROGRAM], {
      env: {...process.env, FIGFALL_NODE_FILE: settingsPath},
      stdio: ['ignore', 'pipe', 'pipe'],
    });
    const log = createWriteStream(logPath, {flags: 'a'});
    child.stdout.once('data', () => {
      this.hasBegun = true;
    });
    child.stdout.pipe(log);
    child.stderr.pipe(log);
    this.child = child;
    child.once('exit', (code, signal) => {
      if (!this.isExpected) onCrash(`${name} with ${code ?? signal}`);
      if (this.isClosed) return;
      this.restart = setTimeout(() => this.start(), RESTART_MS);
    });
  }

  /**
   * True once the program itself runs. Before that a signal ends the process
   * by the system's default, and no request has been taken.
   */
  isRunning(): boolean {
    return this.hasBegun;
  }

  /** Sends a signal that does not end the process. */
  signal(signal: 'SIGSTOP' | 'SIGCONT' | 'SIGHUP'): void {
    this.child?.kill(signal);
  }

  kill(): Promise<number | null> {
    return this.end('SIGKILL');
  }

  /** Asks the process to stop and resolves with its exit code. */
  stop(): Promise<number | null> {
    return this.end('SIGTERM');
  }

  /** Ends the process for good. */
  async close(): Promise<number | null> {
    this.isClosed = true;
    clearTimeout(this.restart);
    this.signal('SIGCONT');
    return this.stop();
  }

  private end(signal: NodeJS.Signals): Promise<number | null> {
    const {child} = this;
    const hasEnded = !child || child.exitCode !== null || child.signalCode;
    if (hasEnded) return Promise.resolve(child?.exitCode ?? 0);
    this.isExpected = true;
    return new Promise(resolve => {
      child.once('exit', code => resolve(code));
      child.kill(signal);
    });
  }
}
