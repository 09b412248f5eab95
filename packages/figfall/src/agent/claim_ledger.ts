import {claimWriter} from '@figfall/decisions';
import type {
  Claim,
  ClaimChange,
  ClaimOutcome,
  ClaimResult,
  ClaimSegment,
  ClaimWriterCommand,
  ClaimWriterEvent,
  ClaimWriterOptions,
  ClaimWriterState,
} from '@figfall/decisions';
import type {PlatformClient} from '@figfall/platform';

interface LedgerOptions {
  readonly platform: PlatformClient;
  readonly writer: ClaimWriterOptions;
}

interface Writer {
  readonly objectKey: string;
  state: ClaimWriterState;
  usedAt: number;
}

type Settle = (result: ClaimResult) => void;

const EMPTY_SEGMENT: ClaimSegment = {sealed: false, claims: {}};

/** Milliseconds after which the writer of an unused segment is forgotten. */
const WRITER_IDLE_MS = 600_000;

function attemptOf(change: ClaimChange): string {
  return change.type === 'claim' ? change.claim.attemptId : change.attemptId;
}

/** Milliseconds between checks of the timers of busy writers. */
const TICK_MS = 25;

function isBusy({state}: Writer): boolean {
  return state.mode !== 'idle' || state.queued.length > 0;
}

/** Runs the writers of ledger segments against the platform. */
export class ClaimLedger {
  private readonly writers = new Map<string, Writer>();
  private readonly waiting = new Map<string, Settle>();
  private closed = false;
  private timer?: NodeJS.Timeout;

  constructor(private readonly options: LedgerOptions) {}

  /** Claims a key, in the first part of its segment that takes it. */
  async claim(
    prefix: string,
    claim: Claim,
    deadlineAt: number,
    replaces?: string,
    part = 0,
  ): Promise<ClaimResult> {
    const result = await this.submit(`${prefix}/${part}`, {
      type: 'claim',
      claim,
      replaces,
      submittedAt: Date.now(),
      deadlineAt,
    });
    if (result.type !== 'sealed') return result;
    return this.claim(prefix, claim, deadlineAt, replaces, part + 1);
  }

  /**
   * Stores the outcome of an attempt in every part that may hold it. Returns
   * false where it could not be stored in time.
   */
  async store(
    prefix: string,
    attempt: {readonly key: string; readonly attemptId: string},
    outcome: ClaimOutcome,
    deadlineAt: number,
  ): Promise<boolean> {
    const parts = [...this.writers.values()].filter(({objectKey}) =>
      objectKey.startsWith(`${prefix}/`),
    );
    const results = await Promise.all(
      parts.map(({objectKey}) =>
        this.submit(objectKey, {
          type: 'outcome',
          ...attempt,
          outcome,
          submittedAt: Date.now(),
          deadlineAt,
        }),
      ),
    );
    return results.every(({type}) => type === 'stored');
  }

  /** Stops all reads and writes; nothing is settled any more. */
  close(): void {
    this.closed = true;
    clearTimeout(this.timer);
  }

  isClosed(): boolean {
    return this.closed;
  }

  /** Forgets writers that have not been used for long. */
  forgetIdle(now: number): void {
    [...this.writers]
      .filter(([, writer]) => !isBusy(writer))
      .filter(([, {usedAt}]) => now - usedAt > WRITER_IDLE_MS)
      .forEach(([key]) => this.writers.delete(key));
  }

  /** Checks the timers of busy writers, and again while there are any. */
  private tick(): void {
    this.timer = undefined;
    [...this.writers.values()]
      .filter(isBusy)
      .forEach(writer => this.step(writer, {type: 'tick'}));
  }

  private submit(objectKey: string, change: ClaimChange): Promise<ClaimResult> {
    const writer = this.writerOf(objectKey);
    writer.usedAt = Date.now();
    return new Promise(resolve => {
      this.waiting.set(`${objectKey}#${attemptOf(change)}`, resolve);
      this.step(writer, {type: 'submit', change});
    });
  }

  private writerOf(objectKey: string): Writer {
    const known = this.writers.get(objectKey);
    if (known) return known;
    const state = claimWriter.create();
    const writer = {objectKey, state, usedAt: Date.now()};
    this.writers.set(objectKey, writer);
    return writer;
  }

  private step(writer: Writer, event: ClaimWriterEvent): void {
    if (this.closed) return;
    const {writer: options} = this.options;
    const next = claimWriter.step(writer.state, event, options, Date.now());
    writer.state = next.state;
    next.commands.forEach(command => this.execute(writer, command));
    if (isBusy(writer)) this.timer ??= setTimeout(() => this.tick(), TICK_MS);
  }

  private execute(writer: Writer, command: ClaimWriterCommand): void {
    if (command.type === 'settle') return this.settle(writer, command.result);
    const answer =
      command.type === 'read' ? this.read(writer) : this.write(writer, command);
    void answer.then(event => this.step(writer, event));
  }

  private settle(writer: Writer, result: ClaimResult): void {
    const key = `${writer.objectKey}#${result.attemptId}`;
    const settle = this.waiting.get(key);
    this.waiting.delete(key);
    settle?.(result);
  }

  private async read({objectKey}: Writer): Promise<ClaimWriterEvent> {
    const got = await this.options.platform.get(objectKey);
    if (got.isOk()) {
      const {version, value} = got.value;
      const segment = JSON.parse(value) as ClaimSegment;
      return {type: 'read', version, segment};
    }
    if (got.error.type !== 'not-found') return {type: 'read-failed'};
    return {type: 'read', version: 0, segment: EMPTY_SEGMENT};
  }

  private async write(
    {objectKey}: Writer,
    command: Extract<ClaimWriterCommand, {type: 'write'}>,
  ): Promise<ClaimWriterEvent> {
    const text = JSON.stringify(command.segment);
    const {platform} = this.options;
    const put = await platform.put(objectKey, text, command.expectedVersion);
    if (put.isOk()) return {type: 'written', version: put.value};
    return {type: put.error.type === 'conflict' ? 'conflict' : 'write-lost'};
  }
}
