import {spawn} from 'node:child_process';
import type {ChildProcess} from 'node:child_process';

/** A running child process. */
interface StartedProcess {
  readonly child: ChildProcess;
  /** Port that the process listens on, as printed by it. */
  readonly port: number;
  /** Sends SIGTERM and resolves once the process has exited. */
  readonly stop: () => Promise<void>;
  /** Sends SIGKILL and resolves once the process has exited. */
  readonly kill: () => Promise<void>;
}

interface ProcessOptions {
  /** Path of the file to run; a `.ts` file runs through tsx. */
  readonly file: string;
  readonly args: readonly string[];
  /** Added to the environment of this process. */
  readonly env?: Readonly<Record<string, string>>;
}

const PORT_PATTERN = /on port (\d+)/;

/**
 * Starts a Node.js process and resolves once it prints `on port NUMBER`.
 * Rejects if it exits before that.
 */
export function startProcess(options: ProcessOptions): Promise<StartedProcess> {
  const loaderArgs = options.file.endsWith('.ts') ? ['--import', 'tsx'] : [];
  const args = [...loaderArgs, options.file, ...options.args];
  const child = spawn(process.execPath, args, {
    env: {...process.env, ...options.env},
    stdio: ['ignore', 'pipe', 'inherit'],
  });
  const exited = new Promise<void>(resolve => {
    child.once('exit', () => resolve());
  });
  const endWith = (signal: NodeJS.Signals) => async () => {
    child.kill(signal);
    await exited;
  };
  return new Promise((resolve, reject) => {
    let output = '';
    child.stdout.on('data', (chunk: Buffer) => {
      output += chunk.toString();
      const port = PORT_PATTERN.exec(output)?.[1];
      if (!port) return;
      resolve({
        child,
        port: Number(port),
        stop: endWith('SIGTERM'),
        kill: endWith('SIGKILL'),
      });
    });
    child.once('exit', code =>
      reject(
        new Error(
          `${options.file} exited with code ${code} before it printed a port`,
        ),
      ),
    );
  });
}
