import type {BackendServer} from '@figfall/decisions';
import type {BackendClient} from '../ports/backend_client.js';
import type {RateLimits} from './rate_limits.js';

/** Milliseconds between checks of a server. */
const CHECK_INTERVAL_MS = 1_000;

interface LimitChecksOptions {
  readonly limits: RateLimits;
  readonly client: Pick<BackendClient, 'check'>;
  readonly now: () => number;
}

/** Asks servers with very low request rates whether these still hold. */
export class LimitChecks {
  private nextAt = 0;

  constructor(private readonly options: LimitChecksOptions) {}

  /** Sends the checks that are due. */
  tick(): void {
    const {limits, now} = this.options;
    if (now() < this.nextAt) return;
    this.nextAt = now() + CHECK_INTERVAL_MS;
    limits.serversToCheck().forEach(server => void this.check(server));
  }

  private async check(server: BackendServer): Promise<void> {
    const {limits, client, now} = this.options;
    const askedAt = now();
    const {rateLimit} = await client.check(server);
    if (rateLimit) limits.book.recordCheck(server, rateLimit, askedAt);
  }
}
