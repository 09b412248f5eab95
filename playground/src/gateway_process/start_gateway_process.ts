import {spawn} from 'node:child_process';
import {fileURLToPath} from 'node:url';

interface GatewayProcessOptions {
  readonly settingsPath: string;
  /**
   * Where standard output goes: a pipe that is read, or an open descriptor.
   * @default a pipe
   */
  readonly stdout?: 'pipe' | number;
  /** Where standard error goes. @default a pipe */
  readonly stderr?: 'pipe' | number;
  /** Redirections of a shell, such as `>&-`. @default none */
  readonly redirections?: string;
  /** Size in blocks of `ulimit -f` at which a file is full. @default none */
  readonly maxFileBlocks?: number;
  /** Options of Node.js before the program. @default none */
  readonly nodeOptions?: readonly string[];
  /** Name of a file in `preloads/` that runs before the program. @default none */
  readonly preload?: string;
  /** Variables for the preloaded file. @default none */
  readonly env?: Readonly<Record<string, string>>;
}

/** How a process has ended. */
interface ProcessEnd {
  readonly code: number | null;
  readonly signal: NodeJS.Signals | null;
}

/** A gateway in a process of its own. */
interface StartedGateway {
  readonly pid: number;
  /** What it has written so far to outputs that are pipes. */
  readonly output: () => string;
  readonly errors: () => string;
  /** Closes this end of the pipe, as a reader that goes away. */
  readonly closeOutput: () => void;
  readonly closeErrors: () => void;
  readonly signal: (signal: NodeJS.Signals) => void;
  readonly end: Promise<ProcessEnd>;
  /** How it has ended; undefined while it runs. */
  readonly hasEnded: () => ProcessEnd | undefined;
  /** Kills it unless it has ended, and resolves when it is gone. */
  readonly kill: () => Promise<ProcessEnd>;
}

const PROGRAM_PATH = fileURLToPath(
  new URL('../../../target/figfall.cjs', import.meta.url),
);

const PRELOADS_PATH = fileURLToPath(new URL('preloads/', import.meta.url));

/** Starts the built gateway (`target/figfall.cjs`); returns before it serves. */
export function startGatewayProcess(
  options: GatewayProcessOptions,
): StartedGateway {
  const {stdout = 'pipe', stderr = 'pipe', redirections = ''} = options;
  const {preload, env, nodeOptions = []} = options;
  const preloads = preload ? ['--require', `${PRELOADS_PATH}${preload}`] : [];
  const {maxFileBlocks = 'unlimited'} = options;
  const script = `ulimit -f ${maxFileBlocks}; exec "$0" "$@" ${redirections}`;
  const args = [process.execPath, ...nodeOptions, ...preloads, PROGRAM_PATH];
  const child = spawn('/bin/sh', ['-c', script, ...args], {
    env: {...process.env, ...env, FIGFALL_NODE_FILE: options.settingsPath},
    stdio: ['ignore', stdout, stderr],
  });
  const texts = {output: '', errors: ''};
  child.stdout?.on('data', chunk => (texts.output += String(chunk)));
  child.stderr?.on('data', chunk => (texts.errors += String(chunk)));
  let ended: ProcessEnd | undefined;
  const end = new Promise<ProcessEnd>(resolve => {
    child.once('exit', (code, signal) => {
      ended = {code, signal};
      resolve(ended);
    });
  });
  return {
    pid: child.pid ?? 0,
    output: () => texts.output,
    errors: () => texts.errors,
    closeOutput: () => child.stdout?.destroy(),
    closeErrors: () => child.stderr?.destroy(),
    signal: signal => void child.kill(signal),
    end,
    hasEnded: () => ended,
    kill: () => {
      child.kill('SIGKILL');
      return end;
    },
  };
}
