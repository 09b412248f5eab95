import type {LogLine} from './log_line.js';

type Fields = LogLine['fields'];

const STORIES: Readonly<Record<string, (fields: Fields) => string>> = {
  answered: ({status, serverId, attempts}) =>
    `It was answered with ${status} by ${serverId}, at attempt ${attempts}.`,
  gone: ({totalMs}) => `Its caller left after ${totalMs} ms.`,
};

/** Says what the fact that it ran, or did not, allows its caller to do. */
const RAN: Readonly<Record<string, string>> = {
  no: 'It has not run, so its caller may send it again.',
  unknown: 'It may have run, so it was not sent again.',
  yes: 'It has run at least in part.',
};

function failed({result, kind, reason, ran}: Fields): string {
  const what = `It failed as ${String(result ?? kind)}: ${String(reason)}`;
  return [what, RAN[String(ran ?? 'no')]].filter(Boolean).join(' ');
}

/** Says in a sentence how a request ended. */
export function tellOutcome(own: readonly LogLine[]): string {
  const last = own.findLast(({message}) =>
    ['request ended', 'request refused'].includes(message),
  );
  if (!last) {
    return 'No line tells its end: the process ended before it, or the log is cut.';
  }
  const {fields} = last;
  const story = STORIES[String(fields.result)] ?? failed;
  const late =
    typeof fields.firstEventMs === 'number'
      ? ` Its first event came after ${fields.firstEventMs} ms (predicted at the last placement: ${String(fields.predictedMs)} ms), its longest pause was ${String(fields.longestPauseMs)} ms.`
      : '';
  return `${story(fields)}${late}`;
}
