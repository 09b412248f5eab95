/** Longest prefill of a short prompt on one server, in milliseconds. */
export const SHORT_PROMPT_MS = 200;
