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

  /** Reserves on all servers; frees all of them where one refuses. */
  async acquire(): Promise<boolean> {
    const granted = await this.reserveAll();
    if (this.isReleased) return false;
    if (!granted) {
      this.release();
      return false;
    }
    this.timer = setInterval(() => {
      void this.reserveAll();
    }, GATEWAY.RENEW_MS);
    return true;
  }

  release(): void {
    if (this.isReleased) return;
    this.isReleased = true;
    clearInterval(this.timer);
    this.reservations.forEach(({server, reservationId}) => {
      void this.client.release(server, reservationId);
    });
  }

  private async reserveAll(): Promise<boolean> {
    const answers = await Promise.all(
      this.reservations.map(({server, reservationId, tokens}) =>
        this.client.reserve(server, {
          reservationId,
          tokens,
          holdMs: GATEWAY.RESERVATION_MS,
        }),
      ),
    );
    return answers.every(Boolean);
  }
}
