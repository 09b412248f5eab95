import log from 'loglevel';
import type {Logger} from './logger.js';

interface LoggerOptions {
  readonly nodeId: string;
  /** Component that logs, such as `entry` or `gateway`. */
  readonly scope: string;
  /** Lowest level that is written. */
  readonly level: 'debug' | 'info' | 'warn' | 'error' | 'silent';
  /**
   * Writes one line, given without its line break.
   * @default standard error
   */
  readonly write?: (line: string) => void;
}

type Level = 'debug' | 'info' | 'warn' | 'error';

function writeToStandardError(line: string): void {
  process.stderr.write(`${line}\n`);
}

/** Creates a logger that writes one JSON object per line. */
export function createLogger(options: LoggerOptions): Logger {
  const {nodeId, scope} = options;
  const write = options.write ?? writeToStandardError;
  const logger = log.getLogger(`${nodeId}/${scope}`);
  logger.methodFactory = level => (message, fields) =>
    write(
      JSON.stringify({
        time: new Date().toISOString(),
        level,
        node: nodeId,
        scope,
        message,
        ...fields,
      }),
    );
  logger.setLevel(options.level, false);
  const logAt =
    (level: Level): Logger[Level] =>
    (message, fields) =>
      logger[level](message, fields);
  return {
    debug: logAt('debug'),
    info: logAt('info'),
    warn: logAt('warn'),
    error: logAt('error'),
  };
}
