/** `lossSlackMs` of the rules, in milliseconds. */
export const LOSS_SLACK_MS = 200;
