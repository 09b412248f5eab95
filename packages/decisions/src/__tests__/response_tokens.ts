/** Tokens of each complete response of the simulated cluster. */
export const RESPONSE_TOKENS = 3;
