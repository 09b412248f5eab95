import {runBench} from './run_bench.js';

void runBench({
  argv: process.argv.slice(2),
  print: line => process.stdout.write(`${line}\n`),
  log: line => process.stderr.write(`${line}\n`),
}).then(code => {
  process.stdout.write('', () => process.exit(code));
});
