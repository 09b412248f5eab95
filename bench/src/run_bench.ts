import {writeFileSync} from 'node:fs';
import {parseArgs} from 'node:util';
import {formatResult} from './results/format_result.js';
import {renderSvg} from './results/render_svg.js';
import {SCENARIOS} from './scenarios/scenario_table.js';

interface BenchOptions {
  readonly argv: readonly string[];
  /** Writes a line of the result to stdout. */
  readonly print: (line: string) => void;
  /** Writes a line of progress or of usage to stderr. */
  readonly log: (line: string) => void;
}

const USAGE =
  'usage: npm run bench -- --scenario NAME --seed N [--size lindenau|thistlebrae] [--json] [--svg FILE] | --list';

/**
 * Runs one scenario and returns the exit code: 0, 1 if an invariant was
 * violated or a target missed, 2 for an unknown scenario or size or an invalid
 * seed.
 */
export async function runBench(options: BenchOptions): Promise<number> {
  const {print, log} = options;
  const {values} = parseArgs({
    args: [...options.argv],
    options: {
      scenario: {type: 'string'},
      seed: {type: 'string', default: '1'},
      size: {type: 'string', default: 'lindenau'},
      json: {type: 'boolean', default: false},
      svg: {type: 'string'},
      list: {type: 'boolean', default: false},
    },
  });
  if (values.list) {
    Object.entries(SCENARIOS).forEach(([name, {summary}]) =>
      print(`${name.padEnd(18)} ${summary}`),
    );
    return 0;
  }
  const name = values.scenario ?? '';
  const scenario = Object.hasOwn(SCENARIOS, name) ? SCENARIOS[name] : undefined;
  const seed = Number(values.seed);
  const {size} = values;
  const isKnownSize = size === 'lindenau' || size === 'thistlebrae';
  if (!scenario || !Number.isInteger(seed) || !isKnownSize) {
    log(`${USAGE}\nscenarios: ${Object.keys(SCENARIOS).join(', ')}`);
    return 2;
  }
  const scenarioResult = await scenario.run({seed, size, log});
  const result = {scenario: name, seed, ...scenarioResult};
  if (values.svg) writeFileSync(values.svg, renderSvg(result));
  if (values.json) print(JSON.stringify(result));
  else formatResult(result).forEach(print);
  const isMet = result.targets.every(({met}) => met);
  return isMet && result.broken.length === 0 ? 0 : 1;
}
