import type {BenchRow} from './bench_row.js';
import type {BenchTarget} from './bench_target.js';

/** Result of one run of a scenario, as printed with `--json`. */
export interface BenchResult {
  readonly scenario: string;
  readonly seed: number;
  readonly rows: readonly BenchRow[];
  readonly targets: readonly BenchTarget[];
  /** Invariants that were violated; the exit code is 1 if there are any. */
  readonly broken: readonly string[];
}
