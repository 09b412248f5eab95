import type {
  EngineProfile,
  PermitMessage,
  ServingConfig,
  WorkChange,
} from '@figfall/decisions';
import type {Failure} from '@figfall/decisions';
import {createGatewayMetrics} from '../core/create_gateway_metrics.js';
import {Fleet} from '../core/fleet.js';
import {GatewayCore} from '../core/gateway_core.js';
import {hashText} from '../core/hash_text.js';
import type {ResponseHead} from '../ports/response_head.js';
import type {ResponseSink} from '../ports/response_sink.js';
import type {BackendClient} from '../ports/backend_client.js';
import type {BackendEvent} from '../ports/backend_event.js';
import type {BackendRequest} from '../ports/backend_request.js';
import type {ReserveResult} from '../ports/reserve_result.js';
import type {CallerRequest} from '../ports/caller_request.js';
import {UNLIMITED_MEMORY} from '../ports/unlimited_memory.js';
import {plainServer} from './plain_server.js';

const SILENT_LOGGER = {
  debug: () => undefined,
  info: () => undefined,
  warn: () => undefined,
  error: () => undefined,
};

interface SentAttempt {
  readonly req: BackendRequest;
  readonly emit: (event: BackendEvent) => void;
  cancelled: boolean;
}

/** The response as the caller received it. */
interface Received {
  status?: number;
  text: string;
  ended: boolean;
  failure?: Failure;
}

const ROUTE = {
  host: 'a.test',
  maxAttempts: 2,
  timeoutMs: 10_000,
  latencyTargetMs: 300,
  pauseMs: 250,
  priority: 5,
  isPublic: true,
};

const CONFIG: ServingConfig = {
  version: 1,
  routes: [
    {
      ...ROUTE,
      name: 'stream',
      pathPrefix: '/stream/',
      kind: 'streaming',
      resumable: true,
      trafficSplit: [{service: 'plain', weight: 1}],
    },
    {
      ...ROUTE,
      name: 'read',
      pathPrefix: '/read/',
      kind: 'idempotent',
      resumable: false,
      trafficSplit: [{service: 'plain', weight: 1}],
    },
    {
      ...ROUTE,
      name: 'book',
      pathPrefix: '/book/',
      kind: 'non-idempotent',
      resumable: false,
      trafficSplit: [{service: 'plain', weight: 1}],
    },
  ],
  services: new Map([['plain', {name: 'plain', coldRequestsPerSecond: 0}]]),
  limits: {maxBodyBytes: 1_000, headerTimeoutMs: 1_000, idleTimeoutMs: 1_000},
};

type LimitChange = Parameters<
  ConstructorParameters<typeof Fleet>[0]['onLimit']
>[0];

interface FixtureOptions {
  readonly isConfigured?: boolean;
  /** Retry budget of the gateway. */
  readonly retry?: {readonly ratio: number; readonly slack: number};
  /** Servers that a route allows. */
  readonly maxAttempts?: number;
  /** Id among all gateways. @default self */
  readonly gatewayId?: string;
  /** @default always 0.5 */
  readonly random?: () => number;
  /** Engine of the backend servers; without one they are plain services. */
  readonly engine?: EngineProfile;
  /** @default at once */
  readonly afterReads?: (action: () => void) => void;
}

/** A gateway core with a manual clock and scripted backend servers. */
export function gatewayFixture(
  serverIds: readonly string[] = ['a', 'b'],
  {
    isConfigured = true,
    retry = {ratio: 0.2, slack: 100},
    maxAttempts = ROUTE.maxAttempts,
    engine,
    random = () => 0.5,
    gatewayId = 'self',
    afterReads,
  }: FixtureOptions = {},
) {
  const clock = {now: 1_000};
  const caller = {isCongested: false, isBroken: false};
  /** Called with each request that is sent; may throw, as Node.js does. */
  const sending = {
    check: (_req: BackendRequest): void => undefined,
    /** Called with each reservation; may throw. */
    reserve: (): ReserveResult => 'granted',
  };
  const metrics = createGatewayMetrics('test');
  const attempts: SentAttempt[] = [];
  const announced: WorkChange[] = [];
  const limitChanges: LimitChange[] = [];
  const sentPermits: {to: string; message: PermitMessage}[] = [];
  const client: BackendClient = {
    send: (req, onEvent) => {
      sending.check(req);
      const attempt: SentAttempt = {
        req,
        emit: onEvent,
        cancelled: false,
      };
      attempts.push(attempt);
      return {
        cancel: () => {
          attempt.cancelled = true;
        },
        pause: () => undefined,
        resume: () => undefined,
      };
    },
    reserve: async () => sending.reserve(),
    release: () => Promise.resolve(),
    check: () => Promise.resolve({isResponding: true}),
    pruneConnections: () => undefined,
  };
  const fleet = new Fleet({
    owner: 'self',
    zone: 'nord',
    random,
    now: () => clock.now,
    announce: change => announced.push(change),
    onAvoided: () => undefined,
    onLimit: change => limitChanges.push(change),
    gatewayId,
    hash: hashText,
    sendPermits: (to, message) => sentPermits.push({to, message}),
    onSuspect: () => undefined,
  });
  const core = new GatewayCore({
    fleet,
    client,
    logger: SILENT_LOGGER,
    metrics,
    random,
    now: () => clock.now,
    retry,
    afterReads,
  });
  const setServers = (...ids: readonly string[]): void =>
    core.setServers(ids.map(plainServer));
  const configure = (): void => {
    const service = {name: 'plain', coldRequestsPerSecond: 0, engine};
    const routes = CONFIG.routes.map(route => ({...route, maxAttempts}));
    const services = new Map([['plain', service]]);
    core.applyConfig({...CONFIG, routes, services});
    setServers(...serverIds);
  };
  if (isConfigured) configure();

  const serve = (path: string, options: Partial<CallerRequest> = {}) => {
    const received: Received = {text: '', ended: false};
    const startStream = (head: ResponseHead) => {
      if (received.status !== undefined) throw new Error('head sent twice');
      received.status = head.status;
    };
    const sink: ResponseSink = {
      sendResponse: (head, body) => {
        if (caller.isBroken) throw new Error('no answer can be written');
        startStream(head);
        received.text = body.toString();
        received.ended = true;
      },
      startStream,
      writeEvents: texts => {
        if (caller.isBroken) throw new Error('no event can be written');
        received.text += texts.join('');
        return !caller.isCongested;
      },
      endStream: () => {
        received.ended = true;
      },
      fail: failure => {
        received.failure = failure;
      },
    };
    const call = core.serve(
      {
        requestId: 'r1',
        method: 'GET',
        host: 'a.test',
        target: path,
        headers: [],
        body: Buffer.alloc(0),
        timeoutMs: 8_000,
        arrivedAt: clock.now,
        memory: UNLIMITED_MEMORY,
        ...options,
      },
      sink,
    );
    return {received, call};
  };
  return {
    clock,
    caller,
    sending,
    metrics,
    attempts,
    announced,
    limitChanges,
    sentPermits,
    core,
    fleet,
    configure,
    setServers,
    serve,
  };
}
