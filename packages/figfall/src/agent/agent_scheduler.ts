import {scheduler, schedulerLoad, prefillMeter} from '@figfall/decisions';
import type {
  SchedulerCommand,
  ServerStatus,
  SchedulerEvent,
  SchedulerOptions,
  SchedulerState,
} from '@figfall/decisions';

/** Holds the scheduler state of an agent and executes its commands. */
export class AgentScheduler {
  private state: SchedulerState;

  constructor(
    serverStatus: ServerStatus,
    private options: SchedulerOptions,
    private readonly execute: (command: SchedulerCommand) => void,
  ) {
    this.state = scheduler.create(serverStatus, options, Date.now());
  }

  /** Applies an event and executes the resulting commands. */
  step(event: SchedulerEvent): void {
    const next = scheduler.step(this.state, event, this.options, Date.now());
    this.state = next.state;
    next.commands.forEach(this.execute);
  }

  /** Replaces the options and lets the scheduler act on them. */
  setOptions(options: SchedulerOptions): void {
    this.options = options;
    this.step({type: 'options-changed'});
  }

  serverStatus(): ServerStatus {
    return this.state.serverStatus;
  }

  kind(): SchedulerOptions['kind'] {
    return this.options.kind;
  }

  hasReservation(reservationId: string): boolean {
    return this.state.reservations.has(reservationId);
  }

  /** Returns the current load for reports and metrics. */
  stats() {
    const {state, options} = this;
    return {
      isCold: state.coldStart.phase === 'cold',
      running: state.running.size,
      queued: state.queue.items.length,
      pendingTokens: schedulerLoad.pendingTokens(state),
      pendingShortTokens: schedulerLoad.pendingShortTokens(state),
      runningLimit: schedulerLoad.runningLimit(state),
      freeTokens: schedulerLoad.freeTokens(state, options),
      totalTokens: options.memoryTokens,
      prefillRate: prefillMeter.tokensPerSecond(state.meter),
    };
  }
}
