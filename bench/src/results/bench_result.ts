import type {BenchRow} from './bench_row.js';
import type {BenchTarget} from './bench_target.js';

/** Result of one run of a scenario. */
export interface BenchResult {
  readonly scenario: string;
  readonly seed: number;
  readonly rows: readonly BenchRow[];
  readonly targets: readonly BenchTarget[];
  /** What must always hold and did not. */
  readonly broken: readonly string[];
}
