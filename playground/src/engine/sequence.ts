/** A sequence of the fake engine, or a prefilled segment that it retains. */
export interface Sequence {
  readonly id: string;
  readonly kind: 'generate' | 'segment';
  /** 0 goes first. */
  readonly priority: number;
  /** Order of arrival, among sequences of equal priority. */
  readonly arrivalIndex: number;
  /** Tokens that remain to be prefilled. */
  tokensToPrefill: number;
  /** KV cache that the sequence occupies. */
  readonly memoryTokens: number;
  /** Digests of the prompt's blocks, for the prefix cache. */
  readonly blockDigests: readonly number[];
  /** Digest of the whole prompt; determines the generated text. */
  readonly promptDigest: number;
  /** The engine crashes once this prompt is prefilled. */
  readonly crashesEngine: boolean;
  /** Index of the next token to generate. */
  nextIndex: number;
  /** Index after the last token. */
  readonly endIndex: number;
  /** Time of the next token, in milliseconds since the epoch. */
  nextTokenAt: number;
  /** `held` is a prefilled segment, kept until a cancellation or crash. */
  state: 'waiting' | 'prefill' | 'decode' | 'held';
  readonly onToken: (index: number, text: string) => void;
  readonly onEnd: () => void;
  readonly onCrash: () => void;
}
