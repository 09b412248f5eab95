import {rmSync} from 'node:fs';
import type {PlantedFault} from './planted_fault.js';
import {runSoak} from './run_soak.js';

/** First words of the lines that have to report the planted faults. */
const REPORTED_BY: Readonly<Record<PlantedFault, string>> = {
  'drop-answer': 'unanswered',
  'cut-answer': 'unanswered',
  'unsaid-limit': 'sent-over-limit',
  'unasked-end': 'unexpected-exit',
  'small-memory': 'memory-over-limit',
};

/** Short, since a planted fault is there from the start. */
const SIZE = {durationMs: 2_000, gateways: 2, callers: 10};

/** Long enough for a limit to bind, and for a window after that. */
const LIMIT_SIZE = {...SIZE, durationMs: 9_000};

interface PlantedResult {
  readonly fault: string;
  /** Number of lines of the check that has to report the fault. */
  readonly reported: number;
  /** All other lines. */
  readonly others: readonly string[];
}

/** Runs the soak once for each planted fault, and counts what is reported. */
export async function runPlantedFaults(
  seed: number,
): Promise<readonly PlantedResult[]> {
  const results: PlantedResult[] = [];
  for (const [fault, check] of Object.entries(REPORTED_BY)) {
    const plantedFault = fault as PlantedFault;
    const size = plantedFault === 'unsaid-limit' ? LIMIT_SIZE : SIZE;
    const {violations, folder} = await runSoak({seed, ...size, plantedFault});
    rmSync(folder, {recursive: true, force: true});
    const others = violations.filter(line => !line.startsWith(`${check} `));
    const reported = violations.length - others.length;
    results.push({fault, reported, others});
  }
  return results;
}
