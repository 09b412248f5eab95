import type {BackendRun, CallerOutcome} from '@figfall/gateway-server/testing';
import {LOSS_SLACK_MS} from './loss_slack_ms.js';
import {runsOf} from './runs_of.js';

/**
 * True if a server broke a request off and no other server was left with it. One
 * that ran it beside that server, and was given up, may notice that late.
 */
export function didServerBreakOff(
  outcome: CallerOutcome,
  runs: readonly BackendRun[],
): boolean {
  const {endedAt} = outcome;
  const own = runsOf(outcome, runs);
  const isOver = (run: BackendRun, broken: BackendRun): boolean => {
    const ranBeside = run.at < broken.endedAt;
    const mayBeLate = ranBeside && run.end === 'abandoned';
    const slackMs = mayBeLate ? LOSS_SLACK_MS : 0;
    return run.endedAt <= broken.endedAt + slackMs;
  };
  return own
    .filter(({end}) => end === 'broken-off')
    .filter(broken => broken.endedAt <= endedAt)
    .some(broken => own.every(run => isOver(run, broken)));
}
