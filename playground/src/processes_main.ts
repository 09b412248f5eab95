import {runProcessDemo} from './processes/run_process_demo.js';

void runProcessDemo(line => process.stdout.write(`${line}\n`)).then(code => {
  process.exitCode = code;
});
