import {scheduler, schedulerLoad, prefillMeter} from '@figfall/decisions';
import type {
  SchedulerCommand,
  ServerStatus,
  SchedulerEvent,
  SchedulerOptions,
  SchedulerState,
} from '@figfall/decisions';

/** Holds the state of an agent's scheduler and passes its commands on. */
export class AgentDoor {
  private state: SchedulerState;

  constructor(
    condition: ServerStatus,
    private doorOptions: SchedulerOptions,
    private readonly execute: (command: SchedulerCommand) => void,
  ) {
    this.state = scheduler.create(condition, doorOptions, Date.now());
  }

  step(event: SchedulerEvent): void {
    const next = scheduler.step(
      this.state,
      event,
      this.doorOptions,
      Date.now(),
    );
    this.state = next.state;
    next.commands.forEach(this.execute);
  }

  setOptions(options: SchedulerOptions): void {
    this.doorOptions = options;
    this.step({type: 'options-changed'});
  }

  condition(): ServerStatus {
    return this.state.serverStatus;
  }

  kind(): SchedulerOptions['kind'] {
    return this.doorOptions.kind;
  }

  hasReservation(reservationId: string): boolean {
    return this.state.reservations.has(reservationId);
  }

  /** Figures for reports and metrics. */
  figures() {
    const {state, doorOptions} = this;
    return {
      isCold: state.coldStart.phase === 'cold',
      running: state.running.size,
      queued: state.queue.items.length,
      pendingTokens: schedulerLoad.pendingTokens(state),
      pendingShortTokens: schedulerLoad.pendingShortTokens(state),
      runningLimit: schedulerLoad.runningLimit(state),
      freeTokens: schedulerLoad.freeTokens(state, doorOptions),
      totalTokens: doorOptions.memoryTokens,
      prefillRate: prefillMeter.tokensPerSecond(state.meter),
    };
  }
}
