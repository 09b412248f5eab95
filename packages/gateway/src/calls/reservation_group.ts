import type {BackendServer} from '@figfall/decisions';
import {GATEWAY} from '../constants.js';
import type {BackendClient} from '../ports/backend_client.js';

/** KV cache that one prompt reserves on one server. */
interface Reservation {
  readonly server: BackendServer;
  readonly reservationId: string;
  readonly tokens: number;
}

/** Reservations of one prompt: all or none, renewed until released. */
export class ReservationGroup {
  private timer?: NodeJS.Timeout;
  private isReleased = false;

  constructor(
    private readonly client: BackendClient,
    private readonly reservations: readonly Reservation[],
  ) {}

  /**
   * Reserves on all servers and returns those that refused; where one did,
   * all others are freed again.
   */
  async acquire(): Promise<readonly BackendServer[]> {
    const refused = await this.reserveAll();
    if (this.isReleased) return refused;
    if (refused.length > 0) {
      this.release();
      return refused;
    }
    this.timer = setInterval(() => {
      void this.reserveAll();
    }, GATEWAY.RENEW_MS);
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

  private async reserveAll(): Promise<readonly BackendServer[]> {
    const answers = await Promise.all(
      this.reservations.map(({server, reservationId, tokens}) =>
        this.client.reserve(server, {
          reservationId,
          tokens,
          holdMs: GATEWAY.RESERVATION_MS,
        }),
      ),
    );
    return this.reservations
      .filter((_, i) => !answers[i])
      .map(({server}) => server);
  }
}
