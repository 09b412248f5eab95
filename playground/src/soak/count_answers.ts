import type {AnswerVerdict} from './answer_verdict.js';
import {judgeAnswer} from './judge_answer.js';
import type {SoakObservations} from './soak_observations.js';

/** Counts the requests of a soak run by how their answers were judged. */
export function countAnswers(
  observations: SoakObservations,
): ReadonlyMap<AnswerVerdict, number> {
  const counts = new Map<AnswerVerdict, number>();
  observations.outcomes
    .map(outcome => judgeAnswer(outcome, observations))
    .forEach(verdict => counts.set(verdict, (counts.get(verdict) ?? 0) + 1));
  return counts;
}
