import {sleep} from '../http/sleep.js';
import type {EngineOptions} from './engine_options.js';

/** An order as the engine's interface takes it. */
interface Order {
  readonly action: 'load' | 'unload';
  readonly model: string;
  readonly weights: string;
  readonly fencingNumber: number;
}

/** Orders that the stand-in engine has taken. */
export function createOrderHandler(options: EngineOptions) {
  const log: Order[] = [];
  let highest = 0;
  return {
    log,
    /** Returns the HTTP status that the order is answered with. */
    take: async (order: Order): Promise<number> => {
      if (options.checksFencing && order.fencingNumber < highest) return 409;
      highest = Math.max(highest, order.fencingNumber);
      log.push(order);
      if (order.action === 'load') {
        const fetched = order.weights.startsWith('http')
          ? await fetch(order.weights)
          : undefined;
        if (fetched && !fetched.ok) return 503;
        await sleep(options.loadModelMs);
        options.models = [...new Set([...options.models, order.model])];
      } else {
        options.models = options.models.filter(name => name !== order.model);
      }
      return 200;
    },
  };
}
