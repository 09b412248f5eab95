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

/** Writer of one ledger object. */
interface Writer {
  readonly objectKey: string;
  state: ClaimWriterState;
  /** Epoch milliseconds of the last submitted change. */
  usedAt: number;
}

type ResolveClaim = (result: ClaimResult) => void;

const EMPTY_SEGMENT: ClaimSegment = {sealed: false, claims: {}};

/** Milliseconds after which the writer of an unused object is dropped. */
const WRITER_IDLE_TIMEOUT_MS = 600_000;

function attemptIdOf(change: ClaimChange): string {
  return change.type === 'claim' ? change.claim.attemptId : change.attemptId;
}

/** Milliseconds between timer checks of busy writers. */
const TIMER_MS = 25;

function isBusy({state}: Writer): boolean {
  return state.mode !== 'idle' || state.queued.length > 0;
}

/**
 * The ledger of idempotency keys in the metadata store. Each segment has one
 * or more parts, each an object with its own writer.
 */
export class ClaimLedger {
  private readonly writers = new Map<string, Writer>();
  /** Resolvers of submitted changes, by object key and attempt id. */
  private readonly pending = new Map<string, ResolveClaim>();
  private closed = false;
  private timer?: NodeJS.Timeout;

  constructor(private readonly options: LedgerOptions) {}

  /**
   * Claims a key in the first part of its segment that is not sealed.
   * `replaces` is the id of an attempt whose claim may be overwritten.
   */
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
   * Stores the outcome of an attempt in every part that may hold its claim.
   * Returns false if it could not be stored before the deadline.
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

  /** Stops all reads and writes. Pending claims and stores never resolve. */
  close(): void {
    this.closed = true;
    clearTimeout(this.timer);
  }

  isClosed(): boolean {
    return this.closed;
  }

  /** Removes writers that are not busy and past the idle timeout. */
  removeIdle(now: number): void {
    [...this.writers]
      .filter(([, writer]) => !isBusy(writer))
      .filter(([, {usedAt}]) => now - usedAt > WRITER_IDLE_TIMEOUT_MS)
      .forEach(([key]) => this.writers.delete(key));
  }

  /** Steps all busy writers; a step reschedules the timer while one is busy. */
  private tick(): void {
    this.timer = undefined;
    [...this.writers.values()]
      .filter(isBusy)
      .forEach(writer => this.step(writer, {type: 'tick'}));
  }

  private submit(objectKey: string, change: ClaimChange): Promise<ClaimResult> {
    const writer = this.findOrCreateWriter(objectKey);
    writer.usedAt = Date.now();
    return new Promise(resolve => {
      this.pending.set(`${objectKey}#${attemptIdOf(change)}`, resolve);
      this.step(writer, {type: 'submit', change});
    });
  }

  private findOrCreateWriter(objectKey: string): Writer {
    const existing = this.writers.get(objectKey);
    if (existing) return existing;
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
    if (isBusy(writer)) this.timer ??= setTimeout(() => this.tick(), TIMER_MS);
  }

  private execute(writer: Writer, command: ClaimWriterCommand): void {
    if (command.type === 'settle') return this.settle(writer, command.result);
    const nextEvent =
      command.type === 'read' ? this.read(writer) : this.write(writer, command);
    void nextEvent.then(event => this.step(writer, event));
  }

  private settle(writer: Writer, result: ClaimResult): void {
    const key = `${writer.objectKey}#${result.attemptId}`;
    const resolve = this.pending.get(key);
    this.pending.delete(key);
    resolve?.(result);
  }

  private async read({objectKey}: Writer): Promise<ClaimWriterEvent> {
    const result = await this.options.platform.get(objectKey);
    if (result.isOk()) {
      const {version, value} = result.value;
      const segment = JSON.parse(value) as ClaimSegment;
      return {type: 'read', version, segment};
    }
    if (result.error.type !== 'not-found') return {type: 'read-failed'};
    return {type: 'read', version: 0, segment: EMPTY_SEGMENT};
  }

  private async write(
    {objectKey}: Writer,
    command: Extract<ClaimWriterCommand, {type: 'write'}>,
  ): Promise<ClaimWriterEvent> {
    const text = JSON.stringify(command.segment);
    const {platform} = this.options;
    const result = await platform.put(objectKey, text, command.expectedVersion);
    if (result.isOk()) return {type: 'written', version: result.value};
    return {type: result.error.type === 'conflict' ? 'conflict' : 'write-lost'};
  }
}
