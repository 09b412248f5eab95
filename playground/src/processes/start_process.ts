import {spawn} from 'node:child_process';
import type {ChildProcess} from 'node:child_process';

/** A process that this one started. */
interface StartedProcess {
  readonly child: ChildProcess;
  /** Port that the process printed. */
  readonly port: number;
  /** Ends the process with SIGTERM and waits for it. */
  readonly stop: () => Promise<void>;
  /** Ends the process at once. */
  readonly kill: () => Promise<void>;
}

interface StartOptions {
  /** Path of the TypeScript file to run. */
  readonly file: string;
  readonly args: readonly string[];
  readonly env?: Readonly<Record<string, string>>;
}

const PORT = /on port (\d+)/;

/** Starts a process and waits until it prints its port. */
export function startProcess(options: StartOptions): Promise<StartedProcess> {
  const loader = options.file.endsWith('.ts') ? ['--import', 'tsx'] : [];
  const args = [...loader, options.file, ...options.args];
  const child = spawn(process.execPath, args, {
    env: {...process.env, ...options.env},
    stdio: ['ignore', 'pipe', 'inherit'],
  });
  const exited = new Promise<void>(resolve => {
    child.once('exit', () => resolve());
  });
  const end = (signal: NodeJS.Signals) => async () => {
    child.kill(signal);
    await exited;
  };
  return new Promise((resolve, reject) => {
    let printed = '';
    child.stdout.on('data', (chunk: Buffer) => {
      printed += chunk.toString();
      const port = PORT.exec(printed)?.[1];
      if (!port) return;
      resolve({
        child,
        port: Number(port),
        stop: end('SIGTERM'),
        kill: end('SIGKILL'),
      });
    });
    child.once('exit', code =>
      reject(new Error(`${options.file} ended with code ${code}`)),
    );
  });
}
