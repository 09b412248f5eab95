/** An order to a model engine. */
export interface EngineOrder {
  readonly action: 'load' | 'unload';
  /** Model as name@version. */
  readonly model: string;
  /** Where the weight store keeps the weights. */
  readonly weights: string;
  readonly fencingNumber: number;
}
