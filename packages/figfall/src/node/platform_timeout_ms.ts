/** Milliseconds after which a call to the platform fails. */
export const PLATFORM_TIMEOUT_MS = 1_000;
