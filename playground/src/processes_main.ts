import {runProcesses} from './processes/run_processes.js';

void runProcesses(line => process.stdout.write(`${line}\n`)).then(code => {
  process.exitCode = code;
});
