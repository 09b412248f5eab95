/** One sequence or held segment of the stand-in engine. */
export interface Sequence {
  readonly id: string;
  readonly kind: 'generate' | 'segment';
  readonly priority: number;
  readonly arrived: number;
  /** Tokens still to be prefilled. */
  toPrefill: number;
  /** Tokens of memory that the sequence holds. */
  readonly memory: number;
  /** Digests of the prompt's blocks, for the prefix cache. */
  readonly blocks: readonly number[];
  readonly digest: number;
  readonly crashes: boolean;
  nextIndex: number;
  readonly lastIndex: number;
  nextTokenAt: number;
  state: 'waiting' | 'prefill' | 'decode' | 'held';
  readonly onToken: (index: number, text: string) => void;
  readonly onEnd: () => void;
  readonly onCrash: () => void;
}
