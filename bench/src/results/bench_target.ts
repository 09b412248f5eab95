/** A figure with the bound that was stated for it. */
export interface BenchTarget {
  readonly name: string;
  readonly bound: number;
  readonly value: number;
  readonly met: boolean;
}
