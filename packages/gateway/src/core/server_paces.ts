import {serverPace} from '@figfall/decisions';
import type {WorkChange} from '@figfall/decisions';

type Pace = ReturnType<typeof serverPace.initial>;

interface ServerPacesOptions {
  readonly now: () => number;
  /** Sends a change to other gateways. */
  readonly announce: (change: WorkChange) => void;
}

/** Speeds of backend servers, learned from streams and other gateways. */
export class ServerPaces {
  private readonly byId = new Map<string, Pace>();

  constructor(private readonly options: ServerPacesOptions) {}

  /** Factor on the declared times of a server; 1 if it is as declared. */
  factor(serverId: string): number {
    return serverPace.factor(this.byId.get(serverId), this.options.now());
  }

  /** Records that a server's passes took `ratio` times as long as declared. */
  observe(serverId: string, ratio: number): void {
    const {now, announce} = this.options;
    const at = now();
    const pace = serverPace.observe(this.paceOf(serverId), ratio, at);
    const mustTell = serverPace.mustTell(pace, at);
    this.byId.set(serverId, mustTell ? serverPace.markTold(pace, at) : pace);
    if (mustTell) announce({type: 'pace', serverId, pace: pace.value});
  }

  /** Applies a pace that another gateway has announced. */
  applyRemote({
    serverId,
    pace,
  }: Extract<WorkChange, {readonly type: 'pace'}>): void {
    const at = this.options.now();
    const next = serverPace.learn(this.paceOf(serverId), pace, at);
    this.byId.set(serverId, next);
  }

  /** Drops the paces of unlisted servers. */
  retain(listed: ReadonlyMap<string, unknown>): void {
    [...this.byId.keys()]
      .filter(id => !listed.has(id))
      .forEach(id => this.byId.delete(id));
  }

  /** Servers that are slower than they declare, with their factors. */
  slow(): readonly (readonly [string, number])[] {
    return [...this.byId.keys()]
      .map(id => [id, this.factor(id)] as const)
      .filter(([, factor]) => factor > 1);
  }

  private paceOf(serverId: string): Pace {
    return this.byId.get(serverId) ?? serverPace.initial(this.options.now());
  }
}
