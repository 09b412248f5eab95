import {door, doorLoad, prefillMeter} from '@figfall/decisions';
import type {
  DoorCommand,
  DoorCondition,
  DoorEvent,
  DoorOptions,
  DoorState,
} from '@figfall/decisions';

/** Holds the state of an agent's door and passes its commands on. */
export class AgentDoor {
  private state: DoorState;

  constructor(
    condition: DoorCondition,
    private doorOptions: DoorOptions,
    private readonly execute: (command: DoorCommand) => void,
  ) {
    this.state = door.create(condition, doorOptions, Date.now());
  }

  step(event: DoorEvent): void {
    const next = door.step(this.state, event, this.doorOptions, Date.now());
    this.state = next.state;
    next.commands.forEach(this.execute);
  }

  setOptions(options: DoorOptions): void {
    this.doorOptions = options;
    this.step({type: 'options-changed'});
  }

  condition(): DoorCondition {
    return this.state.condition;
  }

  kind(): DoorOptions['kind'] {
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
      pendingTokens: doorLoad.pendingTokens(state),
      pendingShortTokens: doorLoad.pendingShortTokens(state),
      runningLimit: doorLoad.runningLimit(state),
      freeTokens: doorLoad.freeTokens(state, doorOptions),
      totalTokens: doorOptions.totalTokens,
      prefillRate: prefillMeter.rate(state.meter),
    };
  }
}
