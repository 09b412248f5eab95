/** A measured value and the bound that it has to meet. */
export interface BenchTarget {
  readonly name: string;
  readonly bound: number;
  readonly value: number;
  readonly met: boolean;
}
