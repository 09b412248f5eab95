import type {BenchResult} from '../results/bench_result.js';

interface ScenarioOptions {
  readonly seed: number;
  /** Size of the deployment, from `--size`. */
  readonly size: 'lindenau' | 'thistlebrae';
  /** Writes a line of progress to stderr. */
  readonly log: (line: string) => void;
}

type ScenarioResult = Omit<BenchResult, 'scenario' | 'seed'>;

/** One experiment, selected by name with `--scenario`. */
export interface Scenario {
  /** Description for `--list`. */
  readonly summary: string;
  readonly run: (options: ScenarioOptions) => Promise<ScenarioResult>;
}
