import {main} from './main.js';

const output = {
  print: (line: string) => process.stdout.write(`${line}\n`),
  complain: (line: string) => process.stderr.write(`${line}\n`),
};

void main({argv: process.argv.slice(2), env: process.env, output}).then(
  code => {
    process.exitCode = code;
    process.stdout.write('', () => process.exit());
  },
);
