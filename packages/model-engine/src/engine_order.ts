/** An order to load or unload a model. */
export interface EngineOrder {
  readonly action: 'load' | 'unload';
  /** Model as `name@version`. */
  readonly model: string;
  /** Location of the weights in the weight store. */
  readonly weights: string;
  /** Engines that check fencing reject a number below the highest seen. */
  readonly fencingNumber: number;
}
