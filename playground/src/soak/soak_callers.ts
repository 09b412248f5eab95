import {Agent} from 'node:http';
import {sendCallerRequest} from '@figfall/gateway-server/testing';
import type {CallerLeave, CallerOutcome} from '@figfall/gateway-server/testing';
import {createRandom} from '../random/create_random.js';
import {sleep} from '../http/sleep.js';
import {CALLER_TIMEOUT_MS} from './caller_timeout_ms.js';
import {LongPartLists} from './long_part_lists.js';
import type {PlantedFault} from './planted_fault.js';

interface CallersOptions {
  readonly seed: number;
  /** Number of concurrent callers. */
  readonly count: number;
  readonly gateways: readonly {readonly name: string; readonly host: string}[];
  readonly port: number;
  /** The crashing part of each request that has one. */
  readonly crashingPartByRequestId: Map<string, string>;
  /** Fault planted at the sockets of callers. @default none */
  readonly plantedFault?: PlantedFault;
}

interface Credentials {
  readonly workspace: string;
  readonly apiKey: string;
}

/** Valid API keys of two workspaces, and an unknown one. */
const CREDENTIALS: readonly Credentials[] = [
  {workspace: 'lindenau', apiKey: 'key-a'},
  {workspace: 'lindenau', apiKey: 'key-b'},
  {workspace: 'thistlebrae', apiKey: 'key-c'},
  {workspace: '', apiKey: 'key-of-nobody'},
];

/** Kinds of requests, repeated by weight. */
const REQUEST_KINDS = ['stream', 'stream', 'read', 'book'] as const;
const METHODS = {stream: 'POST', read: 'GET', book: 'POST'} as const;

const MAX_PAUSE_MS = 60;
const PROMPT_TOKENS = [400, 5_000, 40_000, 150_000];
const MAX_OUTPUT_TOKENS = 40;

/** Subjects of prompts; those of one subject share a part. */
const SUBJECTS = 6;

/** Time between two prompts with a part that crashes servers. */
const CRASHING_PAUSE_MS = 120;

/** One in so many requests of callers is hit by a planted fault. */
const PLANTED_INTERVAL = 50;

const PLANTED_CUTS = {
  'drop-answer': 'response',
  'cut-answer': 'body',
  'unsaid-limit': undefined,
  'unasked-end': undefined,
  'small-memory': undefined,
} as const;

/** Probability that a caller may disconnect before the response is complete. */
const DISCONNECT_PROBABILITY = 0.08;

/**
 * Callers of a soak run. Each sends one request after another to random
 * gateways over persistent connections.
 */
export class SoakCallers {
  readonly outcomes: CallerOutcome[] = [];
  readonly gatewayByRequestId = new Map<string, string>();
  /** Monotonic time in milliseconds at which each request was sent. */
  readonly sentAtByRequestId = new Map<string, number>();
  private readonly random: () => number;
  private isStopped = false;
  private sentCount = 0;
  private readonly agents: Agent[] = [];
  private readonly partLists: LongPartLists;

  constructor(private readonly options: CallersOptions) {
    this.random = createRandom(options.seed + 1);
    this.partLists = new LongPartLists(options.seed);
  }

  /** Sends requests until `stop` is called and those in flight have ended. */
  async run(): Promise<void> {
    const indexes = Array.from({length: this.options.count}, (_, i) => i);
    await Promise.all(indexes.map(() => this.runCaller()));
  }

  stop(): void {
    this.isStopped = true;
  }

  /** Records the request of another caller. */
  record(outcome: CallerOutcome, gateway: string): void {
    this.gatewayByRequestId.set(outcome.requestId, gateway);
    this.sentAtByRequestId.set(outcome.requestId, performance.now());
    this.outcomes.push(outcome);
  }

  /** Closes the connections of the callers. */
  close(): void {
    this.agents.forEach(agent => agent.destroy());
  }

  private async runCaller(): Promise<void> {
    const agent = new Agent({keepAlive: true, maxSockets: 1});
    this.agents.push(agent);
    while (!this.isStopped) {
      const disconnects = this.random() < DISCONNECT_PROBABILITY;
      await this.send(agent, {
        gateway: this.randomBelow(this.options.gateways.length),
        kind: REQUEST_KINDS[this.randomBelow(REQUEST_KINDS.length)] ?? 'read',
        credentials: CREDENTIALS[this.randomBelow(CREDENTIALS.length)],
        disconnectAfterMs: disconnects ? 1 + this.randomBelow(400) : undefined,
        cutAt: this.plantedCut(),
      });
      await sleep(this.random() * MAX_PAUSE_MS);
    }
  }

  /** Sends prompts with a part that crashes servers for a while. */
  async sendCrashing(part: string, durationMs: number): Promise<void> {
    const agent = new Agent();
    const until = performance.now() + durationMs;
    while (!this.isStopped && performance.now() < until) {
      const gateway = this.randomBelow(this.options.gateways.length);
      void this.send(agent, {gateway, kind: 'stream', crashingPart: part});
      await sleep(CRASHING_PAUSE_MS);
    }
  }

  /** Sends one request and records its outcome. */
  async send(
    agent: Agent,
    request: {
      /** Index of the gateway. */
      readonly gateway: number;
      readonly kind: CallerOutcome['kind'];
      /** @default the first valid ones */
      readonly credentials?: Credentials;
      readonly disconnectAfterMs?: number;
      readonly leaveBy?: CallerLeave;
      /** Where a planted fault ends the connection. */
      readonly cutAt?: 'response' | 'body';
      /** Part of the prompt under which servers crash. */
      readonly crashingPart?: string;
    },
  ): Promise<CallerOutcome> {
    const {gateways, port} = this.options;
    const {kind, credentials = CREDENTIALS[0], disconnectAfterMs} = request;
    const gateway = gateways[request.gateway];
    if (!gateway || !credentials) {
      throw new Error(
        `Gateway ${request.gateway} or the credentials are missing.`,
      );
    }
    this.sentCount += 1;
    const requestId = `r${this.options.seed}-${this.sentCount}`;
    this.gatewayByRequestId.set(requestId, gateway.name);
    this.sentAtByRequestId.set(requestId, performance.now());
    if (request.crashingPart) {
      const {crashingPartByRequestId} = this.options;
      crashingPartByRequestId.set(requestId, request.crashingPart);
    }
    const outcome = await sendCallerRequest({
      requestId,
      kind,
      method: METHODS[kind],
      target: `/${kind}/${requestId}/?q=1`,
      body: kind === 'read' ? '' : `body of ${requestId}`,
      workspace: credentials.workspace,
      agent,
      address: {host: gateway.host, port},
      apiKey: credentials.apiKey,
      promptTokens:
        PROMPT_TOKENS[this.randomBelow(PROMPT_TOKENS.length)] ?? 400,
      promptParts: this.promptParts(requestId, request.crashingPart),
      outputTokens: 1 + this.randomBelow(MAX_OUTPUT_TOKENS),
      timeoutMs: CALLER_TIMEOUT_MS,
      disconnectAfterMs,
      leaveBy: request.leaveBy,
      cutAt: request.cutAt,
    });
    this.outcomes.push(outcome);
    return outcome;
  }

  private plantedCut() {
    const {plantedFault} = this.options;
    const isHit = this.sentCount % PLANTED_INTERVAL === 0;
    return plantedFault && isHit ? PLANTED_CUTS[plantedFault] : undefined;
  }

  private promptParts(requestId: string, crashingPart?: string): string {
    const subject = this.sentCount % SUBJECTS;
    const crashing = crashingPart === undefined ? [] : [`${crashingPart}:50`];
    const shared = ['rules:40', `subject-${subject}:90`];
    const parts = this.partLists.extend(shared, requestId, crashing);
    return [...parts, `${requestId}:9`].join(',');
  }

  private randomBelow(limit: number): number {
    return Math.floor(this.random() * limit);
  }
}
