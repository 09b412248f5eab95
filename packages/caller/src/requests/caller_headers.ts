/** Headers of figfall's own, in lower case. */
export const CALLER_HEADERS = {
  workspace: 'x-figfall-workspace',
  timeout: 'x-figfall-timeout-ms',
  requestId: 'x-request-id',
  key: 'idempotency-key',
  /** Time at which the caller made the key, as RFC 3339 or milliseconds. */
  keyCreated: 'idempotency-key-created',
} as const;
