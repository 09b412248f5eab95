import type {SchedulerCommand} from '@figfall/decisions';
import type {ModelEngineClient} from '@figfall/model-engine';
import type {Link, PeerMessage} from '@figfall/node-link';
import type {LinkTable} from '../node/link_table.js';
import type {AgentScheduler} from './agent_scheduler.js';

interface ReservationHandlerOptions {
  readonly scheduler: () => AgentScheduler;
  readonly links: LinkTable;
  readonly engineClient: ModelEngineClient;
}

type ReservationCommand = Exclude<SchedulerCommand, {readonly callId: string}>;

/**
 * Handles memory reservations: informs the requesting entries and frees the
 * engine memory of reservations that have ended.
 */
export class ReservationHandler {
  /** Link id of the requesting entry, by reservation id. */
  private readonly requesterLinks = new Map<string, string>();

  constructor(private readonly options: ReservationHandlerOptions) {}

  /** Passes a request of an entry to the scheduler. */
  reserve(
    message: Extract<PeerMessage, {readonly type: 'reserve'}>,
    link: Link,
  ): void {
    const {reservationId, tokens, ttlMs} = message;
    this.requesterLinks.set(reservationId, link.linkId);
    const expiresAt = Date.now() + ttlMs;
    this.options
      .scheduler()
      .step({type: 'reserve', reservationId, tokens, expiresAt});
  }

  /** Executes a scheduler command about a reservation. */
  execute(command: ReservationCommand): void {
    const {reservationId} = command;
    const {links, engineClient} = this.options;
    if (command.type !== 'reservation-ended') {
      const linkId = this.requesterLinks.get(reservationId) ?? '';
      links.find(linkId)?.send(reservationId, command);
      return;
    }
    this.requesterLinks.delete(reservationId);
    void engineClient.cancel(reservationId);
  }
}
