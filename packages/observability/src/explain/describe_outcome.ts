import type {LogLine} from './log_line.js';

type Fields = LogLine['fields'];

const OUTCOMES: Readonly<Record<string, (fields: Fields) => string>> = {
  answered: ({status, serverId, attempts}) =>
    `It was answered with status ${status} by ${serverId} on attempt ${attempts}.`,
  gone: ({totalMs}) => `Its caller disconnected after ${totalMs} ms.`,
};

/** Sentences by the value of `ran`, which decides if a retry is safe. */
const RETRY_ADVICE: Readonly<Record<string, string>> = {
  no: 'It has not run, so its caller may send it again.',
  unknown: 'It may have run, so it was not sent again.',
  yes: 'It has run at least in part.',
};

function describeFailure({result, kind, reason, ran}: Fields): string {
  const failure = `It failed as ${String(result ?? kind)}: ${String(reason)}`;
  return [failure, RETRY_ADVICE[String(ran ?? 'no')]].filter(Boolean).join(' ');
}

/** Describes how a request ended, from the last line on its end. */
export function describeOutcome(own: readonly LogLine[]): string {
  const last = own.findLast(({message}) =>
    ['request ended', 'request refused'].includes(message),
  );
  if (!last) {
    return 'The log does not show how it ended: the process stopped first, or the log is incomplete.';
  }
  const {fields} = last;
  const describe = OUTCOMES[String(fields.result)] ?? describeFailure;
  const latency =
    typeof fields.firstEventMs === 'number'
      ? ` The first event arrived after ${fields.firstEventMs} ms (predicted at the last placement: ${String(fields.predictedMs)} ms); the longest pause between events was ${String(fields.longestPauseMs)} ms.`
      : '';
  return `${describe(fields)}${latency}`;
}
