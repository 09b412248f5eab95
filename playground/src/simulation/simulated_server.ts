import {engineTime} from '@figfall/decisions';
import type {SimulatedEngine} from './simulated_engine.js';
import type {SimulatedJob} from './simulated_job.js';
import type {PrefillPart} from './prefill_part.js';
import type {VirtualClock} from './virtual_clock.js';

interface PrefillTask {
  readonly part: PrefillPart;
  tokensLeft: number;
}

interface DecodingSequence {
  readonly job: SimulatedJob;
  eventsSent: number;
}

/** Priority of parts that are prefilled for another server. */
const HELPER_PRIORITY = -1;

/**
 * A model engine in virtual time. Each scheduling pass prefills prompts, parts
 * of other servers' prompts first, and then emits one event for each of up to
 * `slots` sequences.
 */
export class SimulatedServer {
  private prefillQueue: PrefillTask[] = [];
  private readonly decoding = new Set<DecodingSequence>();
  private readonly cancelled = new Set<SimulatedJob>();
  private isPassRunning = false;

  constructor(
    private readonly engine: SimulatedEngine,
    private readonly clock: VirtualClock,
  ) {}

  /** True if running and waiting requests fill twice the engine's slots. */
  isFull(): boolean {
    const ownParts = this.prefillQueue.filter(
      ({part}) => part.priority !== HELPER_PRIORITY,
    );
    return ownParts.length + this.decoding.size >= this.engine.slots * 2;
  }

  /** Starts a prompt; decoding begins once all parts are prefilled. */
  start(job: SimulatedJob): void {
    const {promptTokens, helpers, priority} = job;
    const partCount = helpers.length + 1;
    const tokens = promptTokens / partCount;
    const totalMs = engineTime.prefillMs(this.engine, promptTokens);
    const msPerToken = totalMs / promptTokens;
    let partsLeft = partCount;
    const createPart = (partPriority: number): PrefillPart => ({
      tokens,
      msPerToken,
      priority: partPriority,
      isCancelled: () => this.cancelled.has(job),
      onDone: () => {
        partsLeft -= 1;
        if (partsLeft === 0) this.startDecoding(job);
      },
    });
    helpers.forEach(helper => helper.addPart(createPart(HELPER_PRIORITY)));
    this.addPart(createPart(priority));
  }

  /** Queues a part. A part for another server goes before all queued parts. */
  addPart(part: PrefillPart): void {
    const task = {part, tokensLeft: part.tokens};
    if (part.priority === HELPER_PRIORITY) this.prefillQueue.unshift(task);
    else this.prefillQueue.push(task);
    this.prefillQueue.sort((a, b) => a.part.priority - b.part.priority);
    this.startPass();
  }

  cancel(job: SimulatedJob): void {
    this.cancelled.add(job);
    [...this.decoding]
      .filter(sequence => sequence.job === job)
      .forEach(sequence => this.decoding.delete(sequence));
  }

  private startDecoding(job: SimulatedJob): void {
    if (this.cancelled.has(job)) return;
    this.decoding.add({job, eventsSent: 0});
    this.startPass();
  }

  /** Prefills queued parts within a token budget; returns the time in ms. */
  private prefill(budgetTokens: number): {
    ms: number;
    done: readonly PrefillPart[];
  } {
    let budget = budgetTokens;
    let ms = 0;
    this.prefillQueue = this.prefillQueue.filter(
      ({part}) => !part.isCancelled(),
    );
    this.prefillQueue.forEach(task => {
      const tokens = Math.min(budget, task.tokensLeft);
      budget -= tokens;
      task.tokensLeft -= tokens;
      ms += tokens * task.part.msPerToken;
    });
    const done = this.prefillQueue
      .filter(({tokensLeft}) => tokensLeft <= 0)
      .map(({part}) => part);
    this.prefillQueue = this.prefillQueue.filter(
      ({tokensLeft}) => tokensLeft > 0,
    );
    return {ms, done};
  }

  /** Starts a pass: prefill, then a decode that includes the new sequences. */
  private startPass(): void {
    if (this.isPassRunning) return;
    if (this.prefillQueue.length === 0 && this.decoding.size === 0) return;
    this.isPassRunning = true;
    const steps = this.decoding.size > 0 ? this.engine.stepsPerPass : 1;
    const {ms, done} = this.prefill(steps * this.engine.chunkTokens);
    this.clock.schedule(ms, () => {
      done.forEach(part => part.onDone());
      this.decode();
    });
  }

  private decode(): void {
    const batch = [...this.decoding].slice(0, this.engine.slots);
    const ms =
      batch.length > 0 ? engineTime.passMs(this.engine, batch.length) : 0;
    this.clock.schedule(ms, () => {
      this.isPassRunning = false;
      batch.forEach(sequence => this.emitEvent(sequence));
      this.startPass();
    });
  }

  private emitEvent(sequence: DecodingSequence): void {
    const {job} = sequence;
    if (!this.decoding.has(sequence)) return;
    job.onEvent(sequence.eventsSent);
    sequence.eventsSent += 1;
    const eventCount = Math.ceil(job.outputTokens / this.engine.stepsPerPass);
    if (sequence.eventsSent < eventCount) return;
    this.decoding.delete(sequence);
    job.onEnd();
  }
}
