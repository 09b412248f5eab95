import {sleep} from '../http/sleep.js';
import type {EngineOptions} from './engine_options.js';

/** A request to load or unload a model, as the engine's API receives it. */
interface Order {
  readonly action: 'load' | 'unload';
  readonly model: string;
  readonly weights: string;
  readonly fencingNumber: number;
}

/**
 * Creates the handler of model orders for the fake engine. `log` lists the
 * orders that were not refused for their fencing number.
 */
export function createOrderHandler(options: EngineOptions) {
  const log: Order[] = [];
  let highestFencingNumber = 0;
  return {
    log,
    /** Returns a status: 409 for a stale order, 503 for a failed download. */
    handleOrder: async (order: Order): Promise<number> => {
      if (options.checksFencing && order.fencingNumber < highestFencingNumber)
        return 409;
      highestFencingNumber = Math.max(
        highestFencingNumber,
        order.fencingNumber,
      );
      log.push(order);
      if (order.action === 'load') {
        const download = order.weights.startsWith('http')
          ? await fetch(order.weights)
          : undefined;
        if (download && !download.ok) return 503;
        await sleep(options.loadModelMs);
        options.models = [...new Set([...options.models, order.model])];
      } else {
        options.models = options.models.filter(name => name !== order.model);
      }
      return 200;
    },
  };
}
