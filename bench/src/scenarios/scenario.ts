import type {BenchResult} from '../results/bench_result.js';

interface ScenarioOptions {
  readonly seed: number;
  /** Deployment size: one of the users' two. */
  readonly size: 'lindenau' | 'thistlebrae';
  /** Writes a progress line. */
  readonly note: (line: string) => void;
}

type Figures = Omit<BenchResult, 'scenario' | 'seed'>;

/** One experiment of the bench. */
export interface Scenario {
  readonly summary: string;
  readonly run: (options: ScenarioOptions) => Promise<Figures>;
}
