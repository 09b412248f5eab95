/** One engine of a group and the part of the prompt that it holds. */
interface GroupPart {
  readonly agentId: string;
  readonly reservedTokens: number;
  /** Characters of the prompt, from `from` up to `to`. */
  readonly from: number;
  readonly to: number;
}

/** State of a prompt that several engines hold together. */
export interface GroupState {
  readonly phase: 'reserving' | 'prefilling' | 'generating' | 'ended';
  readonly parts: readonly GroupPart[];
  /** Part that is being reserved or prefilled. */
  readonly currentPart: number;
  readonly carry?: string;
  readonly renewedAt: number;
}
