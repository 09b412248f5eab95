import type {SchedulerCommand} from '@figfall/decisions';
import type {ModelEngineClient} from '@figfall/model-engine';
import type {Link, PeerMessage} from '@figfall/node-link';
import type {LinkTable} from '../node/link_table.js';
import type {AgentDoor} from './agent_door.js';

interface ReservationDeskOptions {
  readonly door: () => AgentDoor;
  readonly links: LinkTable;
  readonly engine: ModelEngineClient;
}

type ReservationCommand = Exclude<SchedulerCommand, {readonly callId: string}>;

/** Tells entries of their reservations, and frees what ended ones held. */
export class ReservationDesk {
  /** Link of the entry that asked for each reservation. */
  private readonly reservers = new Map<string, string>();

  constructor(private readonly options: ReservationDeskOptions) {}

  reserve(
    message: Extract<PeerMessage, {readonly type: 'reserve'}>,
    link: Link,
  ): void {
    const {reservationId, tokens, ttlMs} = message;
    this.reservers.set(reservationId, link.linkId);
    const expiresAt = Date.now() + ttlMs;
    this.options
      .door()
      .step({type: 'reserve', reservationId, tokens, expiresAt});
  }

  /** Carries out a scheduler command about a reservation. */
  execute(command: ReservationCommand): void {
    const {reservationId} = command;
    const {links, engine} = this.options;
    if (command.type !== 'reservation-ended') {
      const linkId = this.reservers.get(reservationId) ?? '';
      links.find(linkId)?.send(reservationId, command);
      return;
    }
    this.reservers.delete(reservationId);
    void engine.cancel(reservationId);
  }
}
