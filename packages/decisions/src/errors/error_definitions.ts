/** How an error kind is reported to callers and handled by entries. */
interface ErrorDefinition {
  /** HTTP status code of the response. */
  readonly status: number;
  /** Whether the request ran, unless the failure overrides it. */
  readonly ran: 'no' | 'unknown' | 'yes';
  /** Whether another backend server may accept the same request. */
  readonly retryElsewhere: boolean;
  /** Default delay in milliseconds after which the caller may retry. */
  readonly retryAfterMs?: number;
}

/** All error kinds with their definitions. */
export const ERROR_DEFINITIONS = {
  'bad-request': {status: 400, ran: 'no', retryElsewhere: false},
  unauthorized: {status: 401, ran: 'no', retryElsewhere: false},
  'unknown-workspace': {status: 403, ran: 'no', retryElsewhere: false},
  'not-found': {status: 404, ran: 'no', retryElsewhere: false},
  'model-not-served': {status: 404, ran: 'no', retryElsewhere: false},
  'unknown-service': {status: 404, ran: 'no', retryElsewhere: false},
  'body-timeout': {status: 408, ran: 'no', retryElsewhere: false},
  'version-conflict': {status: 409, ran: 'no', retryElsewhere: false},
  'in-progress': {
    status: 409,
    ran: 'unknown',
    retryElsewhere: false,
    retryAfterMs: 1_000,
  },
  'outcome-unknown': {status: 409, ran: 'unknown', retryElsewhere: false},
  'key-expired': {status: 410, ran: 'unknown', retryElsewhere: false},
  'body-too-large': {status: 413, ran: 'no', retryElsewhere: false},
  'prompt-too-long': {status: 413, ran: 'no', retryElsewhere: false},
  'key-reused': {status: 422, ran: 'no', retryElsewhere: false},
  'suspect-request': {status: 422, ran: 'no', retryElsewhere: false},
  'workspace-limit': {
    status: 429,
    ran: 'no',
    retryElsewhere: false,
    retryAfterMs: 1_000,
  },
  'queue-full': {
    status: 429,
    ran: 'no',
    retryElsewhere: true,
    retryAfterMs: 1_000,
  },
  'server-limit': {
    status: 429,
    ran: 'no',
    retryElsewhere: true,
    retryAfterMs: 1_000,
  },
  'deadline-infeasible': {
    status: 429,
    ran: 'no',
    retryElsewhere: true,
    retryAfterMs: 2_000,
  },
  cancelled: {status: 499, ran: 'unknown', retryElsewhere: false},
  'internal-error': {status: 500, ran: 'unknown', retryElsewhere: false},
  'backend-error': {status: 502, ran: 'unknown', retryElsewhere: true},
  'backend-lost': {status: 502, ran: 'unknown', retryElsewhere: true},
  'link-lost': {status: 502, ran: 'unknown', retryElsewhere: true},
  'protocol-error': {status: 502, ran: 'unknown', retryElsewhere: true},
  'not-ready': {
    status: 503,
    ran: 'no',
    retryElsewhere: true,
    retryAfterMs: 1_000,
  },
  'not-declared': {status: 503, ran: 'no', retryElsewhere: true},
  'no-backend-server': {
    status: 503,
    ran: 'no',
    retryElsewhere: true,
    retryAfterMs: 2_000,
  },
  'zone-out': {status: 503, ran: 'no', retryElsewhere: true},
  'zone-limit': {
    status: 429,
    ran: 'no',
    retryElsewhere: true,
    retryAfterMs: 1_000,
  },
  'server-out': {status: 503, ran: 'no', retryElsewhere: true},
  'send-failed': {
    status: 503,
    ran: 'no',
    retryElsewhere: true,
    retryAfterMs: 2_000,
  },
  leaving: {status: 503, ran: 'no', retryElsewhere: true},
  'cold-start-limit': {
    status: 503,
    ran: 'no',
    retryElsewhere: true,
    retryAfterMs: 2_000,
  },
  'gateway-memory': {
    status: 503,
    ran: 'no',
    retryElsewhere: true,
    retryAfterMs: 1_000,
  },
  'memory-full': {
    status: 503,
    ran: 'no',
    retryElsewhere: true,
    retryAfterMs: 2_000,
  },
  'model-not-loaded': {
    status: 503,
    ran: 'no',
    retryElsewhere: true,
    retryAfterMs: 2_000,
  },
  'ledger-unavailable': {
    status: 503,
    ran: 'no',
    retryElsewhere: false,
    retryAfterMs: 2_000,
  },
  'claimed-elsewhere': {status: 409, ran: 'unknown', retryElsewhere: true},
  'platform-unavailable': {
    status: 503,
    ran: 'unknown',
    retryElsewhere: false,
    retryAfterMs: 2_000,
  },
  'retry-budget': {
    status: 503,
    ran: 'no',
    retryElsewhere: false,
    retryAfterMs: 2_000,
  },
  'deadline-exceeded': {status: 504, ran: 'unknown', retryElsewhere: false},
} as const satisfies Record<string, ErrorDefinition>;
