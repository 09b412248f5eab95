import {main} from './main.js';

const output = {
  print: (line: string) => process.stdout.write(`${line}\n`),
  printError: (line: string) => process.stderr.write(`${line}\n`),
};

void main({argv: process.argv.slice(2), env: process.env, output}).then(
  code => {
    process.exitCode = code;
    // Waits until the buffered output is written.
    process.stdout.write('', () => process.exit());
  },
);
