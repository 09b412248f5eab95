import {engineTime} from '@figfall/decisions';
import type {SimulatedEngine} from './simulated_engine.js';
import type {SimulatedJob} from './simulated_job.js';
import type {PrefillPart} from './prefill_part.js';
import type {VirtualClock} from './virtual_clock.js';

interface Reading {
  readonly part: PrefillPart;
  tokensLeft: number;
}

interface Writer {
  readonly job: SimulatedJob;
  written: number;
}

/** Rank of parts that are read for another server. */
const PART_RANK = -1;

/**
 * A model engine under virtual time: scheduling passes in which all writers
 * make one event and prompts are read, parts of other servers' prompts first.
 */
export class SimulatedServer {
  private readings: Reading[] = [];
  private readonly writers = new Set<Writer>();
  private readonly cancelled = new Set<SimulatedJob>();
  private isBusy = false;

  constructor(
    private readonly engine: SimulatedEngine,
    private readonly clock: VirtualClock,
  ) {}

  /** True where another request would have to wait for a place. */
  isFull(): boolean {
    const own = this.readings.filter(({part}) => part.rank !== PART_RANK);
    return own.length + this.writers.size >= this.engine.slots * 2;
  }

  /** Takes a prompt; its events come once all parts have been read. */
  start(job: SimulatedJob): void {
    const {promptTokens, helpers, priority} = job;
    const count = helpers.length + 1;
    const tokens = promptTokens / count;
    const totalMs = engineTime.prefillMs(this.engine, promptTokens);
    const msPerToken = totalMs / promptTokens;
    let partsLeft = count;
    const part = (rank: number): PrefillPart => ({
      tokens,
      msPerToken,
      rank,
      isCancelled: () => this.cancelled.has(job),
      onDone: () => {
        partsLeft -= 1;
        if (partsLeft === 0) this.write(job);
      },
    });
    helpers.forEach(helper => helper.addPart(part(PART_RANK)));
    this.addPart(part(priority));
  }

  /** Takes a part; one for another server goes before all that is there. */
  addPart(part: PrefillPart): void {
    const reading = {part, tokensLeft: part.tokens};
    if (part.rank === PART_RANK) this.readings.unshift(reading);
    else this.readings.push(reading);
    this.readings.sort((a, b) => a.part.rank - b.part.rank);
    this.beginPass();
  }

  cancel(job: SimulatedJob): void {
    this.cancelled.add(job);
    [...this.writers]
      .filter(writer => writer.job === job)
      .forEach(writer => this.writers.delete(writer));
  }

  private write(job: SimulatedJob): void {
    if (this.cancelled.has(job)) return;
    this.writers.add({job, written: 0});
    this.beginPass();
  }

  /** Reads as much as one pass allows; returns its time in ms. */
  private read(budgetTokens: number): {
    ms: number;
    done: readonly PrefillPart[];
  } {
    let budget = budgetTokens;
    let ms = 0;
    this.readings = this.readings.filter(({part}) => !part.isCancelled());
    this.readings.forEach(reading => {
      const tokens = Math.min(budget, reading.tokensLeft);
      budget -= tokens;
      reading.tokensLeft -= tokens;
      ms += tokens * reading.part.msPerToken;
    });
    const done = this.readings
      .filter(({tokensLeft}) => tokensLeft <= 0)
      .map(({part}) => part);
    this.readings = this.readings.filter(({tokensLeft}) => tokensLeft > 0);
    return {ms, done};
  }

  /** Reads first; what has been read then writes in the same pass. */
  private beginPass(): void {
    if (this.isBusy) return;
    if (this.readings.length === 0 && this.writers.size === 0) return;
    this.isBusy = true;
    const steps = this.writers.size > 0 ? this.engine.stepsPerPass : 1;
    const {ms, done} = this.read(steps * this.engine.chunkTokens);
    this.clock.schedule(ms, () => {
      done.forEach(part => part.onDone());
      this.decode();
    });
  }

  private decode(): void {
    const writers = [...this.writers].slice(0, this.engine.slots);
    const ms =
      writers.length > 0 ? engineTime.passMs(this.engine, writers.length) : 0;
    this.clock.schedule(ms, () => {
      this.isBusy = false;
      writers.forEach(writer => this.emit(writer));
      this.beginPass();
    });
  }

  private emit(writer: Writer): void {
    const {job} = writer;
    if (!this.writers.has(writer)) return;
    job.onEvent(writer.written);
    writer.written += 1;
    const events = Math.ceil(job.outputTokens / this.engine.stepsPerPass);
    if (writer.written < events) return;
    this.writers.delete(writer);
    job.onEnd();
  }
}
