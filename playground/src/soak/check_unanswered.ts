import type {CallerOutcome} from '@figfall/gateway-server/testing';
import {findLastRun} from './find_last_run.js';
import {judgeAnswer} from './judge_answer.js';
import type {SoakObservations} from './soak_observations.js';

type Observations = Parameters<typeof judgeAnswer>[1] &
  Pick<SoakObservations, 'outcomes'>;

function describe(outcome: CallerOutcome, observations: Observations): string {
  const {requestId, kind, endedAt, status = 'no status', failure} = outcome;
  const {gatewayByRequestId, sentAtByRequestId, runs} = observations;
  const gateway = gatewayByRequestId.get(requestId);
  const sentAt = sentAtByRequestId.get(requestId) ?? endedAt;
  const run = findLastRun(outcome, runs);
  const atServer = run
    ? `${run.end} at ${run.serverId} ${Math.round(run.endedAt - endedAt)} ms from then`
    : 'it ran nowhere';
  return `unanswered ${requestId}: a ${kind} at ${gateway} ended after ${Math.round(endedAt - sentAt)} ms (${status}, ${failure}); ${atServer}`;
}

/**
 * Checks that each request that a gateway has read whole is answered or
 * refused: its connection doesn't end without a complete answer.
 */
export function checkUnanswered(observations: Observations): readonly string[] {
  return observations.outcomes
    .filter(outcome => judgeAnswer(outcome, observations) === 'unanswered')
    .map(outcome => describe(outcome, observations));
}
