import {spawn} from 'node:child_process';
import type {ChildProcess} from 'node:child_process';
import {DEPLOYED_PROGRAM} from './deployed_program.js';
import {LogCollector} from './log_collector.js';
import {readProcessStatus} from './read_process_status.js';

interface GatewayProcessOptions {
  readonly name: string;
  readonly settingsPath: string;
  /** Path of the log file, which restarts append to. */
  readonly logPath: string;
  /** Called with the reason when the process exits without being asked to. */
  readonly onUnexpectedExit: (reason: string) => void;
}

/** Delay between the exit of a process and its restart. */
const RESTART_DELAY_MS = 400;

const OBSERVE_INTERVAL_MS = 50;

/** Time from the program's first instruction until all its handlers are set. */
const SETTLE_MS = 200;

/** A gateway in a child process, which is restarted whenever it exits. */
export class GatewayProcess {
  /** Reads the standard output and error of the process. */
  readonly collector: LogCollector;
  /** SIGHUPs before the program's first instruction, and ends by them. */
  readonly earlyReloads = {sent: 0, ended: 0};
  /** Largest resident memory of its processes so far, in MB. */
  peakMemoryMb = 0;
  private child?: ChildProcess;
  private isExitExpected = false;
  private isKilled = false;
  private isReloadEarly = false;
  private handlesSignalsSince?: number;
  private isClosed = false;
  private restartTimer?: NodeJS.Timeout;
  private readonly observeTimer: NodeJS.Timeout;

  constructor(private readonly options: GatewayProcessOptions) {
    this.collector = new LogCollector(options.logPath);
    this.observeTimer = setInterval(
      () => void this.observe(),
      OBSERVE_INTERVAL_MS,
    );
  }

  /** Starts the process and returns before it serves. */
  start(): void {
    const {args, folder} = DEPLOYED_PROGRAM;
    const {input} = this.collector;
    this.isExitExpected = false;
    this.isKilled = false;
    this.isReloadEarly = false;
    this.handlesSignalsSince = undefined;
    const startedAt = performance.now();
    const child = spawn(process.execPath, args, {
      cwd: folder,
      env: {...process.env, FIGFALL_NODE_FILE: this.options.settingsPath},
      stdio: ['ignore', input, input],
    });
    this.child = child;
    child.once('exit', (code, signal) => {
      this.handlesSignalsSince = undefined;
      this.recordExit(code ?? signal, performance.now() - startedAt);
      if (this.isClosed) return;
      this.restartTimer = setTimeout(() => this.start(), RESTART_DELAY_MS);
    });
  }

  /**
   * Returns true once the program has set its handlers, until it is killed. A
   * SIGTERM before that ends the process by default; no request has been
   * accepted by then.
   */
  isRunning(): boolean {
    const {handlesSignalsSince: since = Infinity} = this;
    return performance.now() >= since + SETTLE_MS;
  }

  /** True if the program handles SIGHUP, from its first instruction on. */
  handlesReload(): boolean {
    return this.observe().handlesHangup;
  }

  /**
   * Sends SIGHUP, which ends a process whose program has not begun. Returns
   * false in that case.
   */
  reload(): boolean {
    if (this.hasExited()) return true;
    this.isReloadEarly = !this.handlesReload();
    if (this.isReloadEarly) this.earlyReloads.sent += 1;
    this.child?.kill('SIGHUP');
    return !this.isReloadEarly;
  }

  /** Sends a signal that the harness doesn't count as its own doing. */
  signal(signal: 'SIGSTOP' | 'SIGCONT' | 'SIGKILL'): void {
    this.child?.kill(signal);
  }

  /** Kills the process; resolves with its exit code, null after a signal. */
  kill(): Promise<number | null> {
    this.observe();
    this.isKilled = true;
    this.handlesSignalsSince = undefined;
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
    const exitCode = await this.stop();
    clearInterval(this.observeTimer);
    this.collector.close();
    return exitCode;
  }

  /** Reads the status of the process, and records what matters later. */
  private observe(): ReturnType<typeof readProcessStatus> {
    const status = readProcessStatus(
      this.hasExited() ? undefined : this.child?.pid,
    );
    this.peakMemoryMb = Math.max(this.peakMemoryMb, status.peakMemoryMb);
    if (!status.handlesHangup) return status;
    this.isReloadEarly = false;
    // A killed process has its handlers until the kernel has ended it.
    if (!this.isKilled) this.handlesSignalsSince ??= performance.now();
    return status;
  }

  private hasExited(): boolean {
    const {child} = this;
    return !child || child.exitCode !== null || child.signalCode !== null;
  }

  /** Only a SIGHUP before the first instruction may end a process unasked. */
  private recordExit(cause: number | string | null, ageMs: number): void {
    if (this.isExitExpected) return;
    if (cause === 'SIGHUP' && this.isReloadEarly) {
      this.earlyReloads.ended += 1;
      return;
    }
    const {name, onUnexpectedExit} = this.options;
    const age = `${Math.round(ageMs)} ms after its start`;
    onUnexpectedExit(`${name} exited with ${cause}, ${age}`);
  }

  private terminate(signal: NodeJS.Signals): Promise<number | null> {
    const {child} = this;
    if (!child || this.hasExited()) {
      return Promise.resolve(child?.exitCode ?? 0);
    }
    this.isExitExpected = true;
    return new Promise(resolve => {
      child.once('exit', code => resolve(code));
      child.kill(signal);
    });
  }
}
