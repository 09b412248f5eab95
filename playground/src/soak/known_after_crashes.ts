/** Crashes of servers after which all gateways have to know a part of prompts. */
export const KNOWN_AFTER_CRASHES = 5;
