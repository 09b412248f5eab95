import type {countAnswers} from './count_answers.js';

/** Says how many requests were judged, and how many left out for which reason. */
export function describeAnswers(
  answers: ReturnType<typeof countAnswers>,
): string {
  const {
    answered = 0,
    unanswered = 0,
    ...exceptions
  } = Object.fromEntries(answers);
  const reasons = Object.entries(exceptions).map(
    ([reason, count]) => `${count} ${reason}`,
  );
  const judged = `${answered + unanswered} judged by \`unanswered\``;
  return reasons.length > 0
    ? `${judged}, left out ${reasons.join(', ')}`
    : judged;
}
