/** One engine of a group and its part of the prompt. */
interface GroupPart {
  readonly agentId: string;
  /** Tokens of KV cache to reserve on the engine, output included. */
  readonly reservedTokens: number;
  /** Range of prompt characters; `from` is included, `to` is not. */
  readonly from: number;
  readonly to: number;
}

/** State of a prompt that is split over several engines. */
export interface GroupState {
  readonly phase: 'reserving' | 'prefilling' | 'generating' | 'ended';
  readonly parts: readonly GroupPart[];
  /** Index of the part that is being reserved, prefilled or generated from. */
  readonly currentPart: number;
  /** Handle of the KV cache of the parts prefilled so far. */
  readonly kvCacheHandle?: string;
  /** Time in milliseconds of the last renewal of the reservations. */
  readonly renewedAt: number;
}
