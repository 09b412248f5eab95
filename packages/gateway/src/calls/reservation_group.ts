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

/** A server that did not grant its reservation. */
interface Denial {
  readonly server: BackendServer;
  readonly result: Exclude<ReserveResult, 'granted'>;
}

/** Reservations of one prompt: all or none, renewed until they are released. */
export class ReservationGroup {
  private timer?: NodeJS.Timeout;
  private isReleased = false;

  constructor(
    private readonly client: BackendClient,
    private readonly reservations: readonly Reservation[],
  ) {}

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
    this.timer = setInterval(() => {
      void this.reserveAll();
    }, GATEWAY.RESERVATION_RENEW_MS);
    return [];
  }

  release(): void {
    if (this.isReleased) return;
    this.isReleased = true;
    clearInterval(this.timer);
    this.reservations.forEach(({server, reservationId}) => {
      void this.client.release(server, reservationId);
    });
  }

  private async reserveAll(): Promise<readonly Denial[]> {
    const results = await Promise.all(
      this.reservations.map(({server, reservationId, tokens}) =>
        this.client.reserve(server, {
          reservationId,
          tokens,
          holdMs: GATEWAY.RESERVATION_TTL_MS,
        }),
      ),
    );
    return this.reservations.flatMap(({server}, i) => {
      const result = results[i];
      return result === undefined || result === 'granted'
        ? []
        : [{server, result}];
    });
  }
}
