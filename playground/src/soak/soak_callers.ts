import {Agent} from 'node:http';
import {sendCallerRequest} from '@figfall/gateway-server/testing';
import type {CallerOutcome} from '@figfall/gateway-server/testing';
import {createRandom} from '../random/create_random.js';
import {sleep} from '../http/sleep.js';

interface CallersOptions {
  readonly seed: number;
  readonly count: number;
  readonly gateways: readonly {readonly host: string}[];
  readonly port: number;
}

interface Key {
  readonly workspace: string;
  readonly apiKey: string;
}

const KEYS: readonly Key[] = [
  {workspace: 'lindenau', apiKey: 'key-a'},
  {workspace: 'lindenau', apiKey: 'key-b'},
  {workspace: 'thistlebrae', apiKey: 'key-c'},
  {workspace: '', apiKey: 'key-of-nobody'},
];

const KINDS = ['stream', 'stream', 'read', 'book'] as const;
const METHODS = {stream: 'POST', read: 'GET', book: 'POST'} as const;

const TIMEOUT_MS = 5_000;
const PAUSE_MAX_MS = 60;
const PROMPT_TOKENS = [400, 5_000, 40_000, 150_000];
const OUTPUT_MAX = 40;

/** Share of requests whose caller leaves before the answer is complete. */
const LEAVE_SHARE = 0.08;

/** Callers that keep their connections and send one request after another. */
export class SoakCallers {
  readonly outcomes: CallerOutcome[] = [];
  private readonly random: () => number;
  private isOver = false;
  private sent = 0;
  private readonly agents: Agent[] = [];

  constructor(private readonly options: CallersOptions) {
    this.random = createRandom(options.seed + 1);
  }

  /** Sends requests until `stop` is called. */
  async run(): Promise<void> {
    const indexes = Array.from({length: this.options.count}, (_, i) => i);
    await Promise.all(indexes.map(() => this.runOne()));
  }

  stop(): void {
    this.isOver = true;
  }

  close(): void {
    this.agents.forEach(agent => agent.destroy());
  }

  private async runOne(): Promise<void> {
    const agent = new Agent({keepAlive: true, maxSockets: 1});
    this.agents.push(agent);
    while (!this.isOver) {
      const leaves = this.random() < LEAVE_SHARE;
      await this.send(agent, {
        gateway: this.below(this.options.gateways.length),
        kind: KINDS[this.below(KINDS.length)] ?? 'read',
        key: KEYS[this.below(KEYS.length)],
        leavesAfterMs: leaves ? 1 + this.below(400) : undefined,
      });
      await sleep(this.random() * PAUSE_MAX_MS);
    }
  }

  /** Sends one request and returns what came of it. */
  async send(
    agent: Agent,
    what: {
      readonly gateway: number;
      readonly kind: CallerOutcome['kind'];
      readonly key?: Key;
      readonly leavesAfterMs?: number;
    },
  ): Promise<CallerOutcome> {
    const {gateways, port} = this.options;
    const {kind, key = KEYS[0], leavesAfterMs} = what;
    const gateway = gateways[what.gateway];
    if (!gateway || !key) throw new Error('A run needs gateways and keys.');
    this.sent += 1;
    const requestId = `r${this.options.seed}-${this.sent}`;
    const outcome = await sendCallerRequest({
      requestId,
      kind,
      method: METHODS[kind],
      target: `/${kind}/${requestId}/?q=1`,
      body: kind === 'read' ? '' : `body of ${requestId}`,
      workspace: key.workspace,
      agent,
      address: {host: gateway.host, port},
      apiKey: key.apiKey,
      promptTokens: PROMPT_TOKENS[this.below(PROMPT_TOKENS.length)] ?? 400,
      outputTokens: 1 + this.below(OUTPUT_MAX),
      timeoutMs: TIMEOUT_MS,
      disconnectAfterMs: leavesAfterMs,
    });
    this.outcomes.push(outcome);
    return outcome;
  }

  private below(count: number): number {
    return Math.floor(this.random() * count);
  }
}
