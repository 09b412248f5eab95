import type {BackendServer, RateLimitNotice} from '@figfall/decisions';

/** Milliseconds that a request takes at the server. */
const SERVICE_MS = 20;

/** A request as it reached the server. */
interface Arrival {
  /** Milliseconds of virtual time. */
  readonly at: number;
  readonly gateway: number;
}

interface LimitedServerOptions {
  readonly id: string;
  readonly service: string;
  /** Requests a second that it names from the start. @default none */
  readonly perSecond?: number;
  /**
   * True if it names its limit also when asked for its state.
   * @default true
   */
  readonly namesInChecks?: boolean;
}

/** A simulated plain backend server that names the request rate it takes. */
export class LimitedServer {
  readonly serviceMs = SERVICE_MS;
  readonly arrivals: Arrival[] = [];
  private perSecond?: number;
  private processStartedAt = 1;

  constructor(private readonly options: LimitedServerOptions) {
    this.perSecond = options.perSecond;
  }

  /** Its entry in service discovery. */
  listing(): BackendServer {
    const {id, service} = this.options;
    const {processStartedAt} = this;
    return {
      id,
      service,
      host: id,
      port: 1,
      zone: 'nord',
      state: 'ready',
      slots: 1_000,
      coldUntil: 0,
      processStartedAt,
    };
  }

  /** Names another rate from now on; undefined for none. */
  setLimit(perSecond?: number): void {
    this.perSecond = perSecond;
  }

  /** Replaces its process, which has named no limit. */
  restart(): void {
    this.processStartedAt += 1;
    this.perSecond = undefined;
  }

  arrive(arrival: Arrival): void {
    this.arrivals.push(arrival);
  }

  /** What its responses say of its limit. */
  notice(): RateLimitNotice {
    const {perSecond} = this;
    return perSecond === undefined
      ? {type: 'none'}
      : {type: 'named', perSecond};
  }

  /** What it says of its limit when asked for its state. */
  checkNotice(): RateLimitNotice {
    const {namesInChecks = true} = this.options;
    return namesInChecks ? this.notice() : {type: 'none'};
  }

  /** Number of arrivals in a span of virtual time, in milliseconds. */
  arrivedBetween(from: number, to: number): number {
    return this.arrivals.filter(({at}) => at >= from && at < to).length;
  }

  /** Most arrivals in any `windowMs` from `from` on, in milliseconds. */
  mostInWindow(windowMs: number, from: number): number {
    const times = this.arrivals.map(({at}) => at).filter(at => at >= from);
    let first = 0;
    return times.reduce((most, at, i) => {
      while ((times[first] ?? at) <= at - windowMs) first += 1;
      return Math.max(most, i - first + 1);
    }, 0);
  }
}
