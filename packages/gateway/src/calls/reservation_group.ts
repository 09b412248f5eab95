import type {BackendServer} from '@figfall/decisions';
import {GATEWAY} from '../constants.js';
import type {BackendClient} from '../ports/backend_client.js';
import type {ReserveResult} from '../ports/reserve_result.js';

/** KV cache reserved for one prompt on one server. */
interface Reservation {
  readonly server: BackendServer;
  readonly reservationId: string;
  readonly tokens: number;
}

interface ReservationGroupOptions {
  readonly client: BackendClient;
  readonly reservations: readonly Reservation[];
  /** The server that uses the memory reserved on the others. */
  readonly primary: BackendServer;
  /** Called if the primary is gone, and the memory about to expire. */
  readonly onPrimaryLost: () => void;
}

/** Consecutive checks without an answer after which the memory expires. */
const MISSED_CHECKS_MAX = Math.floor(
  GATEWAY.RESERVATION_TTL_MS / GATEWAY.RESERVATION_RENEW_MS,
);

/** A server that did not grant its reservation. */
interface Denial {
  readonly server: BackendServer;
  readonly result: Exclude<ReserveResult, 'granted'>;
}

/**
 * Reservations of one prompt: all or none, renewed until they are released, for
 * as long as the server that uses them responds.
 */
export class ReservationGroup {
  private timer?: NodeJS.Timeout;
  private isReleased = false;
  private missedChecks = 0;
  /** Start time of the primary's process, in Unix milliseconds. */
  private primaryStartedAt?: number;

  constructor(private readonly options: ReservationGroupOptions) {}

  /**
   * Reserves on all servers and returns those that did not grant it. If there
   * is any, the reservations on all servers are released.
   */
  async acquire(): Promise<readonly Denial[]> {
    const denials = await this.reserveAll();
    if (this.isReleased) return denials;
    if (denials.length > 0) {
      this.release();
      return denials;
    }
    this.timer = setInterval(
      () => void this.renew(),
      GATEWAY.RESERVATION_RENEW_MS,
    );
    return [];
  }

  release(): void {
    if (this.isReleased) return;
    this.isReleased = true;
    clearInterval(this.timer);
    const {client, reservations} = this.options;
    reservations.forEach(({server, reservationId}) => {
      void client.release(server, reservationId);
    });
  }

  /** True if the primary's process is another one than at the first check. */
  private wasReplaced(processStartedAt: number | undefined): boolean {
    if (processStartedAt === undefined) return false;
    this.primaryStartedAt ??= processStartedAt;
    return processStartedAt !== this.primaryStartedAt;
  }

  /** Renews the memory while the server that uses it responds. */
  private async renew(): Promise<void> {
    const {client, primary, onPrimaryLost} = this.options;
    const {isResponding, processStartedAt} = await client.check(primary);
    if (this.isReleased) return;
    if (this.wasReplaced(processStartedAt)) return onPrimaryLost();
    this.missedChecks = isResponding ? 0 : this.missedChecks + 1;
    if (isResponding) await this.reserveAll();
    else if (this.missedChecks >= MISSED_CHECKS_MAX) onPrimaryLost();
  }

  private async reserveAll(): Promise<readonly Denial[]> {
    const {client, reservations} = this.options;
    const results = await Promise.all(
      reservations.map(({server, reservationId, tokens}) =>
        client.reserve(server, {
          reservationId,
          tokens,
          holdMs: GATEWAY.RESERVATION_TTL_MS,
        }),
      ),
    );
    return reservations.flatMap(({server}, i) => {
      const result = results[i];
      return result === undefined || result === 'granted'
        ? []
        : [{server, result}];
    });
  }
}
