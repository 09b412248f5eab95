/** Request headers that callers may send, in lower case. */
export const CALLER_HEADERS = {
  workspace: 'x-figfall-workspace',
  timeout: 'x-figfall-timeout-ms',
  requestId: 'x-request-id',
  idempotencyKey: 'idempotency-key',
  /** Creation time of the key, as RFC 3339 or Unix milliseconds. */
  idempotencyKeyCreated: 'idempotency-key-created',
} as const;
