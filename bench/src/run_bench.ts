import {writeFileSync} from 'node:fs';
import {parseArgs} from 'node:util';
import {printResult} from './results/print_result.js';
import {renderSvg} from './results/render_svg.js';
import {SCENARIOS} from './scenarios/scenario_table.js';

interface BenchOptions {
  readonly argv: readonly string[];
  readonly print: (line: string) => void;
  readonly note: (line: string) => void;
}

const USAGE =
  'usage: npm run bench -- --scenario NAME --seed N [--size lindenau|thistlebrae] [--json] [--svg FILE] | --list';

/** Runs one scenario and returns the exit code. */
export async function runBench(options: BenchOptions): Promise<number> {
  const {print, note} = options;
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
  const isSize = size === 'lindenau' || size === 'thistlebrae';
  if (!scenario || !Number.isInteger(seed) || !isSize) {
    note(`${USAGE}\nscenarios: ${Object.keys(SCENARIOS).join(', ')}`);
    return 2;
  }
  const figures = await scenario.run({seed, size, note});
  const result = {scenario: name, seed, ...figures};
  if (values.svg) writeFileSync(values.svg, renderSvg(result));
  if (values.json) print(JSON.stringify(result));
  else printResult(result).forEach(print);
  return result.broken.length > 0 ? 1 : 0;
}
