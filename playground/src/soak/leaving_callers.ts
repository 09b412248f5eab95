import {Agent} from 'node:http';
import type {CallerLeave} from '@figfall/gateway-server/testing';
import {createRandom} from '../random/create_random.js';
import {startOneByOne} from './start_one_by_one.js';
import type {SoakCallers} from './soak_callers.js';

interface LeavingCallersOptions {
  readonly seed: number;
  readonly callers: Pick<SoakCallers, 'send'>;
}

/** Callers of one crowd, and the milliseconds between two of them. */
const COUNT = 150;
const INTERVAL_MS = 2;

/** Milliseconds for which such a caller stays. */
const MIN_STAY_MS = 50;
const MAX_STAY_MS = 450;

const LEAVES: readonly CallerLeave[] = ['close', 'reset', 'half-close'];
const KINDS = ['stream', 'read'] as const;

/** Crowds of callers that leave soon, each on a connection of its own. */
export class LeavingCallers {
  private readonly random: () => number;

  constructor(private readonly options: LeavingCallersOptions) {
    this.random = createRandom(options.seed + 2);
  }

  /**
   * Sends the requests of one crowd to a gateway, by its index. Returns a
   * function after which no more come.
   */
  send(gateway: number): () => void {
    const leaveBy = LEAVES[this.randomBelow(LEAVES.length)];
    return startOneByOne({
      count: COUNT,
      intervalMs: INTERVAL_MS,
      start: () => {
        const agent = new Agent();
        void this.options.callers.send(agent, {
          gateway,
          kind: KINDS[this.randomBelow(KINDS.length)] ?? 'read',
          disconnectAfterMs:
            MIN_STAY_MS + this.randomBelow(MAX_STAY_MS - MIN_STAY_MS),
          leaveBy,
        });
        return () => undefined;
      },
    });
  }

  private randomBelow(limit: number): number {
    return Math.floor(this.random() * limit);
  }
}
